#include "verbenawell/operators/Reports.h"

#include "verbenawell/fleet/FleetSettings.h"
#include "verbenawell/fleet/FleetState.h"
#include "verbenawell/membership/MembershipState.h"
#include "verbenawell/membership/Ownership.h"
#include "verbenawell/planner/SparePlan.h"
#include "verbenawell/requests/RequestsState.h"

#include <algorithm>
#include <array>
#include <cstdio>
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
  if (!aVm.stopWave_.IsEmpty()) {
    return "planned stop, wave " + aVm.stopWave_.Value();
  }
  if (aVm.down_) {
    return "down";
  }
  if (!aVm.movingTo_.IsEmpty()) {
    return "moving to " + aVm.movingTo_.Value();
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
NameOf(StopStatus aStatus)
{
  switch (aStatus) {
    case StopStatus::Waiting:
      return "waiting";
    case StopStatus::Reserved:
      return "stopping";
    case StopStatus::Finished:
      return "finished";
    case StopStatus::Failed:
      return "failed";
  }
  return "invalid";
}

std::string
NameOf(MemberStatus aStatus)
{
  switch (aStatus) {
    case MemberStatus::Alive:
      return "alive";
    case MemberStatus::Suspect:
      return "suspect";
    case MemberStatus::Dead:
      return "dead";
    case MemberStatus::Left:
      return "left";
  }
  return "invalid";
}

std::string
DescribeWave(const WaveState& aWave)
{
  if (aWave.ended_) {
    return "ended";
  }
  return aWave.paused_ ? "paused: " + aWave.pauseReason_ : "running";
}

/// Measured resource usage of the service's requests, as a multiple of the
/// usage that they declare. Empty if this daemon does not own the pool or has
/// no measurements.
std::string
DescribeSize(const RequestsState& aRequests,
             const PoolId& aPool,
             const ServiceId& aService)
{
  const auto& pools = aRequests.owner_.pools_;
  const auto pool = pools.find(aPool);
  if (pool == pools.end() || !pool->second.sizes_.contains(aService)) {
    return "";
  }
  const SizeEstimate& size = pool->second.sizes_.at(aService);
  constexpr std::size_t kMaxText = 64;
  std::array<char, kMaxText> text{};
  std::snprintf(text.data(),
                text.size(),
                "cores x%.2f, memory x%.2f",
                size.CoresFactor(),
                size.MemoryFactor());
  return text.data();
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
ReportServices(const FleetState& aFleet,
               const MembershipState& aMembership,
               const RequestsState& aRequests)
{
  Table table{ "services",
               { "service",
                 "pool",
                 "budget",
                 "serving",
                 "state",
                 "owner",
                 "learned size" },
               {} };
  for (const auto& [id, service] : aFleet.services_) {
    const VmCount serving =
      CountServing(aFleet, aFleet.pools_.at(service.pool_));
    table.rows_.push_back({ id.Value(),
                            service.pool_.Value(),
                            std::to_string(service.budget_.Value()),
                            std::to_string(serving.Value()),
                            serving < service.budget_ ? "BELOW" : "ok",
                            OwnerOfPool(aMembership, service.pool_).Value(),
                            DescribeSize(aRequests, service.pool_, id) });
  }
  return table;
}

Table
ReportVms(const FleetState& aFleet, const PoolId& aPool)
{
  Table table{ "vms", { "vm", "pool", "zone", "rack", "state" }, {} };
  std::map<VmId, const VmState*> sorted;
  for (const auto& [id, vm] : aFleet.vms_) {
    if (aPool.IsEmpty() || vm.pool_ == aPool) {
      sorted[id] = &vm;
    }
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

Table
ReportStops(const FleetState& aFleet, const WaveId& aWave)
{
  Table table{ "stops", { "vm", "zone", "rack", "stop", "state" }, {} };
  const auto wave = aFleet.waves_.find(aWave);
  if (wave == aFleet.waves_.end()) {
    return table;
  }
  for (const auto& [id, status] : wave->second.stops_) {
    const auto vm = aFleet.vms_.find(id);
    const bool known = vm != aFleet.vms_.end();
    table.rows_.push_back({ id.Value(),
                            known ? vm->second.facts_.zone_.Value() : "",
                            known ? vm->second.facts_.rack_.Value() : "",
                            NameOf(status),
                            known ? DescribeState(vm->second) : "gone" });
  }
  return table;
}

Table
ReportQuotas(const FleetState& aFleet)
{
  Table table{ "quotas", { "team", "service", "weight", "limit" }, {} };
  for (const auto& [key, quota] : aFleet.quotas_) {
    table.rows_.push_back({ key.first.Value(),
                            key.second.Value(),
                            std::to_string(quota.weight_.Value()),
                            quota.limit_ == SlotCount{}
                              ? "none"
                              : std::to_string(quota.limit_.Value()) });
  }
  return table;
}

Table
ReportSettings(const FleetState& aFleet)
{
  Table table{ "settings",
               { "setting", "value", "unit", "default", "range", "meaning" },
               {} };
  for (const FleetSetting& setting : kFleetSettings) {
    table.rows_.push_back(
      { std::string(setting.name_),
        std::to_string(ValueOf(aFleet, setting)),
        std::string(setting.unit_),
        std::to_string(setting.default_),
        std::to_string(setting.min_) + ".." + std::to_string(setting.max_),
        std::string(setting.meaning_) });
  }
  return table;
}

Table
ReportSpares(const FleetState& aFleet)
{
  FleetIndex index;
  index.Rebuild(aFleet);
  const SpareAssessment need = AssessSpares(index);
  return { "loss of the worst zone",
           { "zone", "vms missing", "spares left", "covered" },
           { { need.worstLoss_.zone_.Value(),
               std::to_string(need.worstLoss_.missing_.Value()),
               std::to_string(need.worstLoss_.spares_.Value()),
               need.coversAnyZoneLoss_ ? "yes" : "NO" } } };
}

Table
ReportStatus(const MembershipState& aMembership,
             const FleetState& aFleet,
             const DaemonId& aSelf)
{
  Table table{ "status",
               { "daemon", "zone", "status", "offset in force", "behind" },
               {} };
  Offset newest = aFleet.appliedOffset_;
  for (const auto& [id, member] : aMembership.members_) {
    newest = std::max(newest, member.latest_.fleetOffset_);
  }
  for (const auto& [id, member] : aMembership.members_) {
    const Offset offset =
      id == aSelf ? aFleet.appliedOffset_ : member.latest_.fleetOffset_;
    table.rows_.push_back({ id.Value(),
                            member.latest_.zone_.Value(),
                            NameOf(member.latest_.status_),
                            std::to_string(offset.Value()),
                            std::to_string((newest - offset).Value()) });
  }
  return table;
}

} // namespace verbenawell
