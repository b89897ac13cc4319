#include "verbenawell/planner/WavePlan.h"

#include "verbenawell/fleet/FleetSettings.h"

#include <algorithm>
#include <cstdint>
#include <limits>
#include <tuple>

namespace verbenawell {

namespace {

std::size_t
CountStops(const WaveState& aWave, StopStatus aStatus)
{
  return static_cast<std::size_t>(
    std::ranges::count_if(aWave.stops_, [aStatus](const auto& aStop) {
      return aStop.second == aStatus;
    }));
}

/// Number of serving VMs above the largest budget of the pool.
std::size_t
ComputeSlack(const FleetState& aFleet, const PoolState& aPool)
{
  const VmCount serving = CountServing(aFleet, aPool);
  const VmCount budget = LargestBudget(aFleet, aPool);
  return serving > budget ? (serving - budget).Value() : 0;
}

// If no spare VM can be moved in, one VM of the slack is reserved for a failure
// during the wave, unless it is the only one: the wave must make progress.
std::size_t
UsableSlack(std::size_t aSlack, VmCount aSpares)
{
  const bool reserveOne = aSpares == VmCount{} && aSlack > 1;
  return reserveOne ? aSlack - 1 : aSlack;
}

std::size_t
WidthLimit(const FleetState& aFleet)
{
  const std::uint64_t limit = ValueOf(aFleet, kWaveWidth);
  return limit == 0 ? std::numeric_limits<std::size_t>::max() : limit;
}

std::vector<BudgetMargin>
AssessMargins(const FleetState& aFleet,
              const PoolState& aPool,
              std::size_t aWidth,
              std::size_t aBorrowed)
{
  const VmCount serving = CountServing(aFleet, aPool);
  const auto minServing = static_cast<std::uint32_t>(std::max<std::int64_t>(
    0,
    std::int64_t{ serving.Value() } + static_cast<std::int64_t>(aBorrowed) -
      static_cast<std::int64_t>(aWidth)));
  std::vector<BudgetMargin> margins;
  for (const ServiceId& service : aPool.services_) {
    margins.push_back({ service,
                        aFleet.services_.at(service).budget_,
                        serving,
                        VmCount{ minServing } });
  }
  std::ranges::stable_sort(margins, [](const auto& aLeft, const auto& aRight) {
    return aLeft.budget_ > aRight.budget_;
  });
  return margins;
}

} // namespace

std::vector<VmId>
OrderStops(const FleetState& aFleet, const WaveState& aWave)
{
  std::vector<VmId> order;
  for (const auto& [id, status] : aWave.stops_) {
    if (status == StopStatus::Waiting && aFleet.vms_.contains(id)) {
      order.push_back(id);
    }
  }
  std::ranges::stable_sort(order, [&](const VmId& aLeft, const VmId& aRight) {
    const VmFacts& left = aFleet.vms_.at(aLeft).facts_;
    const VmFacts& right = aFleet.vms_.at(aRight).facts_;
    return std::tie(left.zone_, left.rack_) <
           std::tie(right.zone_, right.rack_);
  });
  return order;
}

std::size_t
StopsAllowed(const FleetState& aFleet, const WaveState& aWave, VmCount aSpares)
{
  const auto pool = aFleet.pools_.find(aWave.pool_);
  if (aWave.paused_ || aWave.ended_ || pool == aFleet.pools_.end()) {
    return 0;
  }
  const std::size_t running = CountStops(aWave, StopStatus::Reserved);
  const bool canaryDone = CountStops(aWave, StopStatus::Finished) > 0;
  const std::size_t limit = canaryDone ? WidthLimit(aFleet) : 1;
  if (running >= limit) {
    return 0;
  }
  const std::size_t slack = ComputeSlack(aFleet, pool->second);
  return std::min(UsableSlack(slack, aSpares), limit - running);
}

WaveForecast
ForecastWave(const FleetState& aFleet,
             const WaveState& aWave,
             VmCount aSpares,
             Duration aRebootTime)
{
  WaveForecast forecast;
  const auto pool = aFleet.pools_.find(aWave.pool_);
  if (pool == aFleet.pools_.end()) {
    return forecast;
  }
  forecast.stops_ = CountStops(aWave, StopStatus::Waiting);
  const std::size_t slack = ComputeSlack(aFleet, pool->second);
  if (slack == 0 && aSpares > VmCount{}) {
    forecast.borrowed_ = 1;
  }
  forecast.width_ = std::min({ UsableSlack(slack + forecast.borrowed_, aSpares),
                               WidthLimit(aFleet),
                               forecast.stops_ });
  if (forecast.width_ > 0) {
    const std::size_t afterCanary = forecast.stops_ - 1;
    forecast.rounds_ =
      1 + (afterCanary + forecast.width_ - 1) / forecast.width_;
  }
  forecast.duration_ =
    aRebootTime * static_cast<Duration::rep>(forecast.rounds_);
  forecast.margins_ =
    AssessMargins(aFleet, pool->second, forecast.width_, forecast.borrowed_);
  return forecast;
}

} // namespace verbenawell
