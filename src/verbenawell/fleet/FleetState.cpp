#include "verbenawell/fleet/FleetState.h"

#include <algorithm>

namespace verbenawell {

std::size_t
SubjectHash::operator()(const Subject& aSubject) const
{
  return std::visit(
    [&](const auto& aId) {
      constexpr std::size_t kKindFactor = 0x9E3779B97F4A7C15ULL;
      return std::hash<std::string>{}(aId.Value()) ^
             (aSubject.index() * kKindFactor);
    },
    aSubject);
}

bool
IsServing(const VmState& aVm)
{
  return !aVm.down_ && !aVm.draining_ && aVm.stopWave_.IsEmpty() &&
         aVm.movingTo_.IsEmpty();
}

VmCount
CountServing(const FleetState&, const PoolState& aPool)
{
  return aPool.serving_;
}

void
IndexPools(FleetState& aFleet)
{
  for (auto& [id, pool] : aFleet.pools_) {
    pool.vms_.clear();
    pool.services_.clear();
    pool.serving_ = VmCount{};
  }
  for (const auto& [id, vm] : aFleet.vms_) {
    PoolState& pool = aFleet.pools_.at(vm.pool_);
    pool.vms_.insert(id);
    pool.serving_ += VmCount{ IsServing(vm) ? 1U : 0U };
  }
  for (const auto& [id, service] : aFleet.services_) {
    aFleet.pools_.at(service.pool_).services_.insert(id);
  }
}

std::vector<Subject>
ListSubjects(const FleetState& aFleet)
{
  std::vector<Subject> subjects;
  subjects.reserve(aFleet.provenance_.size());
  for (const auto& [subject, provenance] : aFleet.provenance_) {
    subjects.push_back(subject);
  }
  std::ranges::sort(subjects);
  return subjects;
}

VmCount
LargestBudget(const FleetState& aFleet, const PoolState& aPool)
{
  VmCount largest;
  for (const ServiceId& service : aPool.services_) {
    largest = std::max(largest, aFleet.services_.at(service).budget_);
  }
  return largest;
}

PoolId
FindSparePool(const FleetState& aFleet)
{
  for (const auto& [id, pool] : aFleet.pools_) {
    if (pool.spare_) {
      return id;
    }
  }
  return PoolId{};
}

Offset
VersionOf(const FleetState& aFleet, const Subject& aSubject)
{
  if (const auto found = aFleet.provenance_.find(aSubject);
      found != aFleet.provenance_.end()) {
    return found->second.offset_;
  }
  return Offset{};
}

} // namespace verbenawell
