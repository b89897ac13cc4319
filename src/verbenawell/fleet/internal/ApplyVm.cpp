#include "verbenawell/fleet/internal/Applier.h"

#include <algorithm>

namespace verbenawell::fleet_records {

Refusal
Applier::operator()(const VmSeen& aChange)
{
  auto [entry, isNew] = fleet_.vms_.try_emplace(aChange.facts_.vm_);
  VmState& vm = entry->second;
  if (isNew) {
    const auto spare = FindSparePool(fleet_);
    if (spare.IsEmpty()) {
      fleet_.vms_.erase(entry);
      return "no spare pool to receive the VM";
    }
    vm.pool_ = spare;
    vm.maintainedAt_ = at_;
    PoolState& pool = fleet_.pools_.at(spare);
    pool.vms_.insert(aChange.facts_.vm_);
    ++pool.serving_;
    changed_.emplace_back(spare);
  }
  vm.facts_ = aChange.facts_;
  changed_.emplace_back(aChange.facts_.vm_);
  return {};
}

Refusal
Applier::operator()(const VmDown& aChange)
{
  return ChangeVm(aChange.vm_, [&](VmState& aVm) {
    aVm.down_ = true;
    CountFailure(aVm);
  });
}

Refusal
Applier::operator()(const VmUp& aChange)
{
  return ChangeVm(aChange.vm_, [&](VmState& aVm) {
    aVm.down_ = false;
    aVm.facts_.boots_ = std::max(aVm.facts_.boots_, aChange.boots_);
  });
}

Refusal
Applier::operator()(const VmGone& aChange)
{
  const auto found = fleet_.vms_.find(aChange.vm_);
  if (found == fleet_.vms_.end()) {
    return "no " + DescribeVm(aChange.vm_);
  }
  PoolState& pool = fleet_.pools_.at(found->second.pool_);
  pool.vms_.erase(aChange.vm_);
  if (IsServing(found->second)) {
    --pool.serving_;
  }
  changed_.emplace_back(found->second.pool_);
  changed_.emplace_back(aChange.vm_);
  // A wave must not wait for a VM that never comes back.
  for (auto& [id, wave] : fleet_.waves_) {
    const auto stop = wave.stops_.find(aChange.vm_);
    if (stop == wave.stops_.end()) {
      continue;
    }
    if (stop->second == StopStatus::Reserved ||
        (stop->second == StopStatus::Waiting && !wave.ended_)) {
      stop->second = StopStatus::Failed;
      changed_.emplace_back(id);
    }
  }
  fleet_.vms_.erase(found);
  AddRemovedSubject(aChange.vm_);
  return {};
}

Refusal
Applier::operator()(const MoveVm& aChange)
{
  const auto found = fleet_.vms_.find(aChange.vm_);
  if (found == fleet_.vms_.end()) {
    return "no " + DescribeVm(aChange.vm_);
  }
  VmState& vm = found->second;
  const auto target = fleet_.pools_.find(aChange.to_);
  if (target == fleet_.pools_.end()) {
    return "no pool \"" + aChange.to_.Value() + "\"";
  }
  if (vm.pool_ == aChange.to_) {
    return DescribeVm(aChange.vm_) + " is in pool \"" + aChange.to_.Value() +
           "\" already";
  }
  if (!vm.stopWave_.IsEmpty()) {
    return DescribeVm(aChange.vm_) + " has a planned stop";
  }
  if (IsServing(vm) && !fleet_.pools_.at(vm.pool_).services_.empty()) {
    return DescribeVm(aChange.vm_) + " still serves; start a move first";
  }
  changed_.emplace_back(vm.pool_);
  fleet_.pools_.at(vm.pool_).vms_.erase(aChange.vm_);
  target->second.vms_.insert(aChange.vm_);
  EditVm(vm, [&](VmState& aVm) {
    aVm.pool_ = aChange.to_;
    aVm.movingTo_ = PoolId{};
  });
  changed_.emplace_back(aChange.to_);
  changed_.emplace_back(aChange.vm_);
  return {};
}

Refusal
Applier::operator()(const StartMove& aChange)
{
  const auto found = fleet_.vms_.find(aChange.vm_);
  if (found == fleet_.vms_.end()) {
    return "no " + DescribeVm(aChange.vm_);
  }
  const VmState& vm = found->second;
  if (!fleet_.pools_.contains(aChange.to_)) {
    return "no pool \"" + aChange.to_.Value() + "\"";
  }
  if (vm.pool_ == aChange.to_) {
    return DescribeVm(aChange.vm_) + " is in pool \"" + aChange.to_.Value() +
           "\" already";
  }
  if (!vm.stopWave_.IsEmpty()) {
    return DescribeVm(aChange.vm_) + " has a planned stop";
  }
  if (IsServing(vm) && !CanLoseServingVm(vm.pool_)) {
    return "the move would break an availability budget of pool \"" +
           vm.pool_.Value() + "\"";
  }
  return ChangeVm(aChange.vm_,
                  [&](VmState& aVm) { aVm.movingTo_ = aChange.to_; });
}

Refusal
Applier::operator()(const CancelMove& aChange)
{
  return ChangeVm(aChange.vm_, [](VmState& aVm) { aVm.movingTo_ = PoolId{}; });
}

Refusal
Applier::operator()(const DrainVm& aChange)
{
  const auto found = fleet_.vms_.find(aChange.vm_);
  if (found == fleet_.vms_.end()) {
    return "no " + DescribeVm(aChange.vm_);
  }
  if (IsServing(found->second) && !CanLoseServingVm(found->second.pool_)) {
    return "the drain would break an availability budget of pool \"" +
           found->second.pool_.Value() + "\"";
  }
  return ChangeVm(aChange.vm_, [](VmState& aVm) { aVm.draining_ = true; });
}

Refusal
Applier::operator()(const UndrainVm& aChange)
{
  return ChangeVm(aChange.vm_, [](VmState& aVm) { aVm.draining_ = false; });
}

} // namespace verbenawell::fleet_records
