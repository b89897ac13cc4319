#include "verbenawell/planner/SparePlan.h"

#include <algorithm>
#include <cstdint>
#include <optional>
#include <utility>

namespace verbenawell {

namespace {

std::set<ZoneId>
ZonesOf(const FleetIndex& aIndex)
{
  std::set<ZoneId> zones;
  for (const auto& [id, load] : aIndex.Pools()) {
    for (const auto& [zone, count] : load.byZone_) {
      zones.insert(zone);
    }
  }
  for (const auto& [zone, vms] : aIndex.Spares()) {
    zones.insert(zone);
  }
  return zones;
}

VmCount
CountIn(const std::map<ZoneId, VmCount>& aByZone, const ZoneId& aZone)
{
  const auto found = aByZone.find(aZone);
  return found == aByZone.end() ? VmCount{} : found->second;
}

/// Counts the VMs that the pools lack to meet their budgets, and the spare VMs
/// that remain, if the zone fails.
ZoneLoss
ComputeZoneLoss(const FleetIndex& aIndex, const ZoneId& aZone)
{
  ZoneLoss loss{ aZone, {}, aIndex.SpareCount() };
  if (const auto spares = aIndex.Spares().find(aZone);
      spares != aIndex.Spares().end()) {
    loss.spares_ -=
      VmCount{ static_cast<std::uint32_t>(spares->second.size()) };
  }
  for (const auto& [id, pool] : aIndex.Pools()) {
    const VmCount remaining = pool.serving_ - CountIn(pool.byZone_, aZone);
    if (remaining < pool.budget_) {
      loss.missing_ += pool.budget_ - remaining;
    }
  }
  return loss;
}

/// Spare VMs that the plan has not used yet.
class AvailableSpares
{
public:
  explicit AvailableSpares(const FleetIndex& aIndex)
    : spares_(aIndex.Spares())
  {
  }

  /// Takes a VM from the zone in which the pool has the fewest VMs. Among
  /// several such zones, chooses the one with the most spares left.
  std::optional<std::pair<VmId, ZoneId>> AllocateVm(
    const std::map<ZoneId, VmCount>& aPoolByZone)
  {
    auto best = spares_.end();
    for (auto zone = spares_.begin(); zone != spares_.end(); ++zone) {
      if (!zone->second.empty() &&
          (best == spares_.end() || IsBetter(*zone, *best, aPoolByZone))) {
        best = zone;
      }
    }
    if (best == spares_.end()) {
      return {};
    }
    const VmId vm = *best->second.begin();
    best->second.erase(best->second.begin());
    return std::pair{ vm, best->first };
  }

private:
  using Zone = std::pair<const ZoneId, std::set<VmId>>;

  static bool IsBetter(const Zone& aLeft,
                       const Zone& aRight,
                       const std::map<ZoneId, VmCount>& aPoolByZone)
  {
    const VmCount left = CountIn(aPoolByZone, aLeft.first);
    const VmCount right = CountIn(aPoolByZone, aRight.first);
    return left != right ? left < right
                         : aLeft.second.size() > aRight.second.size();
  }

  std::map<ZoneId, std::set<VmId>> spares_;
};

} // namespace

SpareAssessment
AssessSpares(const FleetIndex& aIndex)
{
  SpareAssessment need;
  std::int64_t minMargin = 0;
  for (const ZoneId& zone : ZonesOf(aIndex)) {
    const ZoneLoss loss = ComputeZoneLoss(aIndex, zone);
    const std::int64_t margin = std::int64_t{ loss.spares_.Value() } -
                                std::int64_t{ loss.missing_.Value() };
    if (need.worstLoss_.zone_.IsEmpty() || margin < minMargin) {
      need.worstLoss_ = loss;
      minMargin = margin;
    }
  }
  need.coversAnyZoneLoss_ = minMargin >= 0;
  return need;
}

std::vector<PlannedMove>
PlanRefills(const FleetIndex& aIndex,
            const PoolId& aSparePool,
            const std::set<PoolId>& aWavePools)
{
  std::vector<PlannedMove> moves;
  // Plans are made several times a second, so the spares are copied only if a
  // VM is missing.
  std::optional<AvailableSpares> available;
  for (const auto& [id, load] : aIndex.Pools()) {
    VmCount target = load.budget_;
    if (aWavePools.contains(id)) {
      ++target;
    }
    auto byZone = load.byZone_;
    for (VmCount serving = load.serving_; serving < target; ++serving) {
      if (!available) {
        available.emplace(aIndex);
      }
      const auto spare = available->AllocateVm(byZone);
      if (!spare) {
        return moves;
      }
      moves.push_back({ spare->first, aSparePool, id });
      ++byZone[spare->second];
    }
  }
  return moves;
}

} // namespace verbenawell
