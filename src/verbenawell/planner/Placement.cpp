#include "verbenawell/planner/Placement.h"

#include <algorithm>
#include <cstddef>
#include <map>
#include <set>
#include <tuple>
#include <utility>

namespace verbenawell {

namespace {

/// Orders sizes so that the search finds the smallest VM that fits first.
struct SizeLess
{
  bool operator()(const Resources& aLeft, const Resources& aRight) const
  {
    return std::tie(aLeft.accelerators_, aLeft.cores_, aLeft.memory_) <
           std::tie(aRight.accelerators_, aRight.cores_, aRight.memory_);
  }
};

/// VMs of one zone: those not placed yet, by size, and the number of those
/// placed.
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

/// Takes a free VM that fits the job, from the zone with the lowest `aCount`
/// among those that have one. Empty if no zone has one.
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
      aPlacement.shortfall_ += aDemand.budget_ - placed;
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

// After the loss of a zone, spare VMs in the other zones must replace its pool
// VMs. They suffice if no zone has more placed VMs, spares included, than there
// are spares in all zones together.
void
PlaceSpares(Zones& aZones, const Resources& aJob, Placement& aPlacement)
{
  const auto count = [](const ZoneId&, const Zone& aZone) {
    return aZone.used_;
  };
  while (LargestZoneUse(aZones) > aPlacement.spares_.size()) {
    auto [vm, zone] = AllocateVm(aZones, aJob, count);
    if (vm.IsEmpty()) {
      ++aPlacement.shortfall_;
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
PlaceAllPools(const std::vector<VmFacts>& aVms,
              std::vector<PoolDemand> aDemands)
{
  Placement placement;
  Zones zones = GroupByZone(aVms);
  // Pools that need accelerators choose first, because fewer VMs fit them.
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
