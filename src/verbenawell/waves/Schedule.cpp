#include "verbenawell/waves/Schedule.h"

#include "verbenawell/fleet/FleetSettings.h"
#include "verbenawell/fleet/FleetState.h"

#include <algorithm>
#include <set>
#include <string>
#include <utility>

namespace verbenawell {

namespace {

constexpr std::chrono::hours kDay{ 24 };

std::set<PoolId>
PoolsWithWaves(const FleetState& aFleet)
{
  std::set<PoolId> pools;
  for (const auto& [id, wave] : aFleet.waves_) {
    if (!wave.ended_) {
      pools.insert(wave.pool_);
    }
  }
  return pools;
}

std::vector<VmId>
DueVms(const FleetState& aFleet, const PoolState& aPool, WallTime aDueBefore)
{
  std::vector<VmId> due;
  for (const VmId& id : aPool.vms_) {
    if (aFleet.vms_.at(id).maintainedAt_ <= aDueBefore) {
      due.push_back(id);
    }
  }
  return due;
}

} // namespace

std::vector<StartWave>
DueWaves(const FleetState& aFleet, WallTime aNow)
{
  const std::uint64_t days = ValueOf(aFleet, kMaintenanceInterval);
  if (days == 0) {
    return {};
  }
  const WallTime dueBefore = aNow - kDay * days;
  const std::set<PoolId> poolsWithWaves = PoolsWithWaves(aFleet);
  std::vector<StartWave> waves;
  for (const auto& [id, pool] : aFleet.pools_) {
    if (poolsWithWaves.contains(id)) {
      continue;
    }
    if (auto due = DueVms(aFleet, pool, dueBefore); !due.empty()) {
      const std::string name = "scheduled-" + id.Value() + "-" +
                               std::to_string(aNow.time_since_epoch() / kDay);
      waves.push_back({ WaveId{ name }, id, std::move(due) });
    }
  }
  return waves;
}

} // namespace verbenawell
