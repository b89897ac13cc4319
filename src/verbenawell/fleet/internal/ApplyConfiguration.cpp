#include "verbenawell/fleet/internal/Applier.h"

#include <algorithm>

namespace verbenawell::fleet_records {

Refusal
Applier::operator()(const DefinePool& aChange)
{
  if (aChange.spare_ && HasOtherSparePool(aChange.pool_)) {
    return "another pool is the spare pool already";
  }
  fleet_.pools_[aChange.pool_].spare_ = aChange.spare_;
  changed_.emplace_back(aChange.pool_);
  return {};
}

Refusal
Applier::operator()(const RemovePool& aChange)
{
  const auto found = fleet_.pools_.find(aChange.pool_);
  if (found == fleet_.pools_.end()) {
    return "no pool \"" + aChange.pool_.Value() + "\"";
  }
  if (!found->second.vms_.empty() || !found->second.services_.empty()) {
    return "pool \"" + aChange.pool_.Value() + "\" still has VMs or services";
  }
  const bool isTarget = std::ranges::any_of(fleet_.vms_, [&](const auto& aVm) {
    return aVm.second.movingTo_ == aChange.pool_;
  });
  if (isTarget) {
    return "a VM moves to pool \"" + aChange.pool_.Value() + "\"";
  }
  fleet_.pools_.erase(found);
  AddRemovedSubject(aChange.pool_);
  changed_.emplace_back(aChange.pool_);
  return {};
}

Refusal
Applier::operator()(const DefineService& aChange)
{
  const auto pool = fleet_.pools_.find(aChange.pool_);
  if (pool == fleet_.pools_.end()) {
    return "no pool \"" + aChange.pool_.Value() + "\"";
  }
  const auto old = fleet_.services_.find(aChange.service_);
  const bool lowersBudget = old != fleet_.services_.end() &&
                            old->second.pool_ == aChange.pool_ &&
                            aChange.budget_ <= old->second.budget_;
  if (const VmCount serving = pool->second.serving_;
      !lowersBudget && aChange.budget_ > serving) {
    return "the availability budget is " +
           std::to_string(aChange.budget_.Value()) + ", but pool \"" +
           aChange.pool_.Value() + "\" has " + std::to_string(serving.Value()) +
           " serving VMs";
  }
  if (old != fleet_.services_.end()) {
    fleet_.pools_.at(old->second.pool_).services_.erase(aChange.service_);
    changed_.emplace_back(old->second.pool_);
  }
  const bool staysInPool =
    old != fleet_.services_.end() && old->second.pool_ == aChange.pool_;
  const bool isNew = VersionOf(fleet_, aChange.service_) == Offset{};
  WallTime movedAt = isNew ? WallTime{} : at_;
  if (staysInPool) {
    movedAt = old->second.movedAt_;
  }
  fleet_.services_[aChange.service_] = { aChange.pool_,
                                         aChange.budget_,
                                         movedAt };
  pool->second.services_.insert(aChange.service_);
  changed_.emplace_back(aChange.service_);
  changed_.emplace_back(aChange.pool_);
  return {};
}

Refusal
Applier::operator()(const RemoveService& aChange)
{
  const auto found = fleet_.services_.find(aChange.service_);
  if (found == fleet_.services_.end()) {
    return "no service \"" + aChange.service_.Value() + "\"";
  }
  fleet_.pools_.at(found->second.pool_).services_.erase(aChange.service_);
  changed_.emplace_back(found->second.pool_);
  fleet_.services_.erase(found);
  std::erase_if(fleet_.quotas_, [&](const auto& aQuota) {
    return aQuota.first.second == aChange.service_;
  });
  AddRemovedSubject(aChange.service_);
  changed_.emplace_back(aChange.service_);
  return {};
}

Refusal
Applier::operator()(const SetQuota& aChange)
{
  if (!fleet_.services_.contains(aChange.service_)) {
    return "no service \"" + aChange.service_.Value() + "\"";
  }
  fleet_.quotas_[{ aChange.team_, aChange.service_ }] = { aChange.weight_,
                                                          aChange.limit_ };
  changed_.emplace_back(aChange.team_);
  changed_.emplace_back(aChange.service_);
  return {};
}

Refusal
Applier::operator()(const SetSetting& aChange)
{
  fleet_.settings_[aChange.setting_] = aChange.value_;
  changed_.emplace_back(aChange.setting_);
  return {};
}

Refusal
Applier::operator()(const UnknownChange& aChange)
{
  return "unknown kind of change \"" + aChange.kind_ + "\"";
}

} // namespace verbenawell::fleet_records
