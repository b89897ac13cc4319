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
  return !aVm.down_ && !aVm.draining_ && aVm.stop_.IsEmpty() &&
         aVm.movingTo_.IsEmpty();
}

VmCount
CountServing(const FleetState& aFleet, const PoolState& aPool)
{
  const auto serving = std::ranges::count_if(aPool.vms_, [&](const VmId& aId) {
    return IsServing(aFleet.vms_.at(aId));
  });
  return VmCount{ static_cast<std::uint32_t>(serving) };
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
