#include "verbenawell/operators/Reports.h"

#include "verbenawell/fleet/FleetState.h"

#include <algorithm>
#include <map>
#include <string>

namespace verbenawell {

namespace {

std::string
DescribeServices(const FleetState& aFleet, const PoolState& aPool)
{
  std::string text;
  for (const ServiceId& service : aPool.services_) {
    const VmCount budget = aFleet.services_.at(service).budget_;
    text += (text.empty() ? "" : ", ") + service.Value() + " (budget " +
            std::to_string(budget.Value()) + ")";
  }
  return text;
}

std::string
DescribeState(const VmState& aVm)
{
  if (!aVm.stop_.IsEmpty()) {
    return "planned stop, wave " + aVm.stop_.Value();
  }
  if (aVm.down_) {
    return "down";
  }
  return aVm.draining_ ? "draining" : "serving";
}

std::string
CountStops(const WaveState& aWave, StopStatus aStatus)
{
  return std::to_string(
    std::ranges::count_if(aWave.stops_, [aStatus](const auto& aStop) {
      return aStop.second == aStatus;
    }));
}

std::string
DescribeWave(const WaveState& aWave)
{
  if (aWave.ended_) {
    return "ended";
  }
  return aWave.paused_ ? "paused: " + aWave.pauseReason_ : "running";
}

} // namespace

Table
ReportPools(const FleetState& aFleet)
{
  Table table{ "pools", { "pool", "spare", "vms", "serving", "services" }, {} };
  for (const auto& [id, pool] : aFleet.pools_) {
    table.rows_.push_back({ id.Value(),
                            pool.spare_ ? "yes" : "no",
                            std::to_string(pool.vms_.size()),
                            std::to_string(CountServing(aFleet, pool).Value()),
                            DescribeServices(aFleet, pool) });
  }
  return table;
}

Table
ReportVms(const FleetState& aFleet)
{
  Table table{ "vms", { "vm", "pool", "zone", "rack", "state" }, {} };
  std::map<VmId, const VmState*> sorted;
  for (const auto& [id, vm] : aFleet.vms_) {
    sorted[id] = &vm;
  }
  for (const auto& [id, vm] : sorted) {
    table.rows_.push_back({ id.Value(),
                            vm->pool_.Value(),
                            vm->facts_.zone_.Value(),
                            vm->facts_.rack_.Value(),
                            DescribeState(*vm) });
  }
  return table;
}

Table
ReportWaves(const FleetState& aFleet)
{
  Table table{
    "waves",
    { "wave", "pool", "state", "waiting", "stopping", "finished", "failed" },
    {}
  };
  for (const auto& [id, wave] : aFleet.waves_) {
    table.rows_.push_back({ id.Value(),
                            wave.pool_.Value(),
                            DescribeWave(wave),
                            CountStops(wave, StopStatus::Waiting),
                            CountStops(wave, StopStatus::Reserved),
                            CountStops(wave, StopStatus::Finished),
                            CountStops(wave, StopStatus::Failed) });
  }
  return table;
}

} // namespace verbenawell
