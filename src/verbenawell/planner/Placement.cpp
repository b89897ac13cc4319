#include "verbenawell/planner/Placement.h"

#include <algorithm>
#include <cstddef>
#include <map>
#include <set>
#include <tuple>
#include <utility>

namespace verbenawell {

namespace {

/// Orders sizes so that the smallest that fits is found first.
struct SizeLess
{
  bool operator()(const Resources& aLeft, const Resources& aRight) const
  {
    return std::tie(aLeft.accelerators_, aLeft.cores_, aLeft.memory_) <
           std::tie(aRight.accelerators_, aRight.cores_, aRight.memory_);
  }
};

/// One zone's VMs that have not been placed, and what has been.
struct Zone
{
  std::map<Resources, std::vector<VmId>, SizeLess> free_;
  std::size_t used_ = 0;

  [[nodiscard]] auto FindFit(const Resources& aJob)
  {
    return std::ranges::find_if(free_, [&](const auto& aGroup) {
      return !aGroup.second.empty() && FitsWithin(aJob, aGroup.first);
    });
  }
};

using Zones = std::map<ZoneId, Zone>;

Zones
GroupByZone(const std::vector<VmFacts>& aVms)
{
  Zones zones;
  for (const VmFacts& vm : aVms) {
    zones[vm.zone_].free_[vm.size_].push_back(vm.vm_);
  }
  return zones;
}

/// Takes a VM from the zone with the fewest VMs by `aCount` that has a fit.
template<typename Count>
std::pair<VmId, ZoneId>
AllocateVm(Zones& aZones, const Resources& aJob, Count aCount)
{
  Zone* best = nullptr;
  ZoneId bestId;
  for (auto& [id, zone] : aZones) {
    if (zone.FindFit(aJob) != zone.free_.end() &&
        (best == nullptr || aCount(id, zone) < aCount(bestId, *best))) {
      best = &zone;
      bestId = id;
    }
  }
  if (best == nullptr) {
    return {};
  }
  auto& group = best->FindFit(aJob)->second;
  VmId vm = std::move(group.back());
  group.pop_back();
  ++best->used_;
  return { std::move(vm), std::move(bestId) };
}

void
PlacePool(Zones& aZones, const PoolDemand& aDemand, Placement& aPlacement)
{
  std::map<ZoneId, std::size_t> poolVmsByZone;
  const auto count = [&](const ZoneId& aId, const Zone& aZone) {
    return std::pair{ poolVmsByZone[aId], aZone.used_ };
  };
  for (VmCount placed; placed < aDemand.budget_; ++placed) {
    auto [vm, zone] = AllocateVm(aZones, aDemand.job_, count);
    if (vm.IsEmpty()) {
      aPlacement.missing_ += aDemand.budget_ - placed;
      return;
    }
    ++poolVmsByZone[zone];
    aPlacement.pools_.push_back({ std::move(vm), aDemand.pool_ });
  }
}

std::size_t
LargestZoneUse(const Zones& aZones)
{
  std::size_t largest = 0;
  for (const auto& [id, zone] : aZones) {
    largest = std::max(largest, zone.used_);
  }
  return largest;
}

// With a zone lost, its pool VMs must find as many spares in the other zones:
// all VMs placed in one zone, spares included, may not outnumber the spares.
void
PlaceSpares(Zones& aZones, const Resources& aJob, Placement& aPlacement)
{
  const auto count = [](const ZoneId&, const Zone& aZone) {
    return aZone.used_;
  };
  while (LargestZoneUse(aZones) > aPlacement.spares_.size()) {
    auto [vm, zone] = AllocateVm(aZones, aJob, count);
    if (vm.IsEmpty()) {
      ++aPlacement.missing_;
      return;
    }
    aPlacement.spares_.push_back(std::move(vm));
  }
}

Resources
LargestJob(const std::vector<PoolDemand>& aDemands)
{
  Resources largest;
  for (const PoolDemand& demand : aDemands) {
    largest.cores_ = std::max(largest.cores_, demand.job_.cores_);
    largest.memory_ = std::max(largest.memory_, demand.job_.memory_);
    largest.accelerators_ =
      std::max(largest.accelerators_, demand.job_.accelerators_);
  }
  return largest;
}

} // namespace

Placement
PlaceFromNothing(const std::vector<VmFacts>& aVms,
                 std::vector<PoolDemand> aDemands)
{
  Placement placement;
  Zones zones = GroupByZone(aVms);
  // Pools that need accelerators choose first: fewer VMs fit them.
  std::ranges::stable_sort(aDemands, [](const auto& aLeft, const auto& aRight) {
    return SizeLess{}(aRight.job_, aLeft.job_);
  });
  for (const PoolDemand& demand : aDemands) {
    PlacePool(zones, demand, placement);
  }
  PlaceSpares(zones, LargestJob(aDemands), placement);
  for (auto& [id, zone] : zones) {
    for (auto& [size, vms] : zone.free_) {
      std::ranges::move(vms, std::back_inserter(placement.unassigned_));
    }
  }
  return placement;
}

} // namespace verbenawell
