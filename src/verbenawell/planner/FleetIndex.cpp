#include "verbenawell/planner/FleetIndex.h"

#include "verbenawell/core/Overloaded.h"

#include <algorithm>

namespace verbenawell {

void
FleetIndex::Rebuild(const FleetState& aFleet)
{
  *this = FleetIndex{};
  for (const auto& [id, pool] : aFleet.pools_) {
    UpdatePool(aFleet, id);
  }
  for (const auto& [id, vm] : aFleet.vms_) {
    UpdateVm(aFleet, id);
  }
}

void
FleetIndex::Update(const FleetState& aFleet, const Subject& aSubject)
{
  std::visit(Overloaded{
               [&](const VmId& aVm) { UpdateVm(aFleet, aVm); },
               [&](const PoolId& aPool) { UpdatePool(aFleet, aPool); },
               [&](const ServiceId& aService) {
                 if (const auto found = aFleet.services_.find(aService);
                     found != aFleet.services_.end()) {
                   UpdatePool(aFleet, found->second.pool_);
                 }
               },
               [](const auto&) {},
             },
             aSubject);
}

void
FleetIndex::UpdateVm(const FleetState& aFleet, const VmId& aVm)
{
  if (const auto old = locations_.find(aVm); old != locations_.end()) {
    Remove(aVm, old->second);
    locations_.erase(old);
  }
  const auto found = aFleet.vms_.find(aVm);
  if (found != aFleet.vms_.end() && !found->second.movingTo_.IsEmpty()) {
    moving_.insert(aVm);
  } else {
    moving_.erase(aVm);
  }
  if (found == aFleet.vms_.end() || !IsServing(found->second)) {
    return;
  }
  const VmState& vm = found->second;
  const Location location{ vm.pool_,
                           vm.facts_.zone_,
                           aFleet.pools_.at(vm.pool_).spare_ };
  locations_[aVm] = location;
  if (location.spare_) {
    spares_[location.zone_].insert(aVm);
    ++spareCount_;
  } else {
    PoolLoad& load = pools_[location.pool_];
    ++load.serving_;
    ++load.byZone_[location.zone_];
  }
}

void
FleetIndex::UpdatePool(const FleetState& aFleet, const PoolId& aPool)
{
  const auto found = aFleet.pools_.find(aPool);
  if (found == aFleet.pools_.end()) {
    pools_.erase(aPool);
    return;
  }
  if (!found->second.spare_) {
    pools_[aPool].budget_ = LargestBudget(aFleet, found->second);
  }
}

void
FleetIndex::Remove(const VmId& aVm, const Location& aLocation)
{
  if (aLocation.spare_) {
    spares_[aLocation.zone_].erase(aVm);
    --spareCount_;
  } else if (const auto found = pools_.find(aLocation.pool_);
             found != pools_.end()) {
    --found->second.serving_;
    --found->second.byZone_[aLocation.zone_];
  }
}

} // namespace verbenawell
