#include "Oracle.h"

#include "verbenawell/core/Overloaded.h"

#include <algorithm>
#include <sstream>
#include <utility>

namespace verbenawell::fuzz {

namespace {

// Time after which no daemon may send requests to a leaving or drained VM: rule
// 6 of docs/design.md.
constexpr Duration kMaxLeavingDelay = std::chrono::seconds(3);
// Time after which an accepted change is in effect on all daemons: rule 8 of
// docs/design.md.
constexpr Duration kMaxConfigurationDelay = std::chrono::seconds(4);
// A VM that the VM list reports as down for this long counts as failed.
constexpr Duration kFailureVisibleTime = std::chrono::seconds(4);
// Time for which a pool can have two owners. Section 10 of docs/design.md: a
// daemon is declared dead within 2 s, and the next owner waits for slot reports
// for at most 1 s.
constexpr Duration kMaxTwoOwnersTime = std::chrono::seconds(3);

std::string
Name(const std::string& aKind, auto aId)
{
  return aKind + " " + std::to_string(aId.Value());
}

bool
IsPlannedStop(const VmState& aVm)
{
  return aVm.draining_ || !aVm.stopWave_.IsEmpty() || !aVm.movingTo_.IsEmpty();
}

} // namespace

void
Oracle::Observe(TimePoint aNow, const Observation& aObservation)
{
  now_ = aNow;
  std::visit([this](const auto& aObserved) { On(aObserved); }, aObservation);
}

void
Oracle::Report(int aRule, std::string aWhat)
{
  violations_.push_back({ aRule, now_, std::move(aWhat) });
}

void
Oracle::On(const CallSent& aObservation)
{
  calls_[aObservation.call_].sent_ = aObservation;
  ++openCalls_;
}

// Rule 3: a caller gets the complete response to its own request. Rule 4: "not
// run" is reported only if no worker ran the request.
void
Oracle::On(const CallEnded& aObservation)
{
  Call& call = calls_.at(aObservation.call_);
  const std::string name = Name("call", aObservation.call_);
  if (std::exchange(call.ended_, true)) {
    Report(0, name + " has two outcomes");
    return;
  }
  --openCalls_;
  if (const auto* response =
        std::get_if<WorkerResponse>(&aObservation.outcome_)) {
    const Run& run = runs_.at(response->run_);
    if (run.started_.call_ != aObservation.call_) {
      Report(3,
             name + " got the answer to " + Name("call", run.started_.call_));
    } else if (run.end_ != RunEnd::Complete) {
      Report(3, name + " got an incomplete answer");
    }
  } else if (std::holds_alternative<NotRun>(aObservation.outcome_) &&
             call.runs_ > 0) {
    Report(
      4,
      name + " was told \"not run\" (" +
        std::string(ToString(std::get<NotRun>(aObservation.outcome_).reason_)) +
        ") after a run");
  }
}

// Rule 4 counts the runs of a call. Rule 5: a non-idempotent request runs at
// most once. Rule 6: a leaving or drained VM gets no new requests.
void
Oracle::On(const RunStarted& aObservation)
{
  runs_[aObservation.run_] = { aObservation, {}, MayHaveTwoOwners() };
  Vm& vm = vms_[aObservation.vm_];
  vm.running_.insert(aObservation.run_);
  CheckSlots(aObservation);
  Call& call = calls_.at(aObservation.call_);
  ++call.runs_;
  const RequestId& request = call.sent_.request_;
  if (!call.sent_.idempotent_ && ++nonIdempotentRuns_[request] > 1) {
    Report(5, "non-idempotent request " + request.Value() + " ran again");
  }
  if (KnownToAllDaemons(vm.leavingSince_, kMaxLeavingDelay)) {
    Report(6, "VM " + aObservation.vm_.Value() + " got work while leaving");
  }
  if (vm.drainedSince_ && now_ - *vm.drainedSince_ > kMaxLeavingDelay) {
    Report(6, "VM " + aObservation.vm_.Value() + " got work after its drain");
  }
}

// Rule 2: two owners grant the slots of one worker only for a bounded time
// after daemons lost the connection to each other.
void
Oracle::CheckSlots(const RunStarted& aObservation)
{
  const auto& running = vms_[aObservation.vm_].running_;
  const auto counted = std::ranges::count_if(running, [this](const RunId aRun) {
    return !runs_.at(aRun).mayHaveTwoOwners_;
  });
  if (static_cast<std::uint64_t>(counted) > aObservation.slots_.Value()) {
    Report(2,
           "VM " + aObservation.vm_.Value() + " runs " +
             std::to_string(counted) + " requests in " +
             std::to_string(aObservation.slots_.Value()) + " slots");
  }
}

bool
Oracle::MayHaveTwoOwners() const
{
  return connectivityChangedAt_ &&
         now_ - *connectivityChangedAt_ <= kMaxTwoOwnersTime;
}

bool
Oracle::KnownToAllDaemons(const ObservedSince& aSince, Duration aLimit) const
{
  return !running_.empty() &&
         std::ranges::all_of(running_, [&](const auto& aDaemon) {
           const auto observed = aSince.find(aDaemon.first);
           return observed != aSince.end() &&
                  now_ - std::max(observed->second, aDaemon.second) > aLimit;
         });
}

void
Oracle::On(const DaemonRunChanged& aObservation)
{
  if (aObservation.isRunning_) {
    running_[aObservation.daemon_] = now_;
    for (auto& [id, vm] : vms_) {
      vm.downSince_.erase(aObservation.daemon_);
      vm.leavingSince_.erase(aObservation.daemon_);
    }
  } else {
    running_.erase(aObservation.daemon_);
  }
  On(PeerConnectivityChanged{});
}

void
Oracle::On(const DaemonResumed& aObservation)
{
  running_[aObservation.daemon_] = now_;
  On(PeerConnectivityChanged{});
}

void
Oracle::On(const PeerConnectivityChanged& /*aObservation*/)
{
  connectivityChangedAt_ = now_;
  for (auto& [id, vm] : vms_) {
    for (const RunId run : vm.running_) {
      runs_.at(run).mayHaveTwoOwners_ = true;
    }
  }
}

void
Oracle::On(const RunEnded& aObservation)
{
  Run& run = runs_.at(aObservation.run_);
  run.end_ = aObservation.runEnd_;
  vms_[run.started_.vm_].running_.erase(aObservation.run_);
}

// Rule 7: a planned stop interrupts no request.
void
Oracle::On(const RebootStarted& aObservation)
{
  for (const RunId run : vms_[aObservation.vm_].running_) {
    Report(7,
           "the planned stop of VM " + aObservation.vm_.Value() + " cut " +
             Name("call", runs_.at(run).started_.call_));
  }
}

void
Oracle::On(const VmListReceived& aObservation)
{
  Vm& vm = vms_[aObservation.vm_];
  const auto update = [&](bool aIsSet, ObservedSince& aSince) {
    if (aIsSet) {
      aSince.try_emplace(aObservation.daemon_, now_);
    } else {
      aSince.erase(aObservation.daemon_);
    }
  };
  update(!aObservation.live_, vm.downSince_);
  update(aObservation.leaving_, vm.leavingSince_);
}

void
Oracle::On(const ChangeAccepted& aObservation)
{
  acceptedAt_.try_emplace(aObservation.offset_, now_);
  std::istringstream words{ aObservation.command_ };
  std::string verb;
  std::string vm;
  words >> verb >> vm;
  // The response may arrive after another operator has ended the drain.
  if (verb == "drain" &&
      vms_[VmId{ vm }].lastUndrainedOffset_ < aObservation.offset_) {
    vms_[VmId{ vm }].drainedSince_ = now_;
  } else if (verb == "undrain") {
    vms_[VmId{ vm }].drainedSince_.reset();
  }
}

void
Oracle::On(const FleetStateObserved& aObservation)
{
  CheckOffset(aObservation);
  const FleetState& fleet = *aObservation.fleet_;
  if (fleetStates_.contains(fleet.appliedOffset_)) {
    return;
  }
  const bool newest =
    fleetStates_.empty() || fleetStates_.rbegin()->first < fleet.appliedOffset_;
  fleetStates_[fleet.appliedOffset_] = DescribeFleetState(fleet);
  CheckPools(fleet);
  if (newest) {
    CheckBudgets(fleet);
  }
  // The rule no longer applies once another operator has ended the drain.
  for (const auto& [id, vm] : fleet.vms_) {
    if (newest && !vm.draining_) {
      vms_[id].drainedSince_.reset();
      vms_[id].lastUndrainedOffset_ = fleet.appliedOffset_;
    }
  }
}

// Rule 8: a configuration reaches all daemons in time, is the same for all of
// them, and is never reverted to an older one.
void
Oracle::CheckOffset(const FleetStateObserved& aObservation)
{
  const Offset offset = aObservation.fleet_->appliedOffset_;
  const std::string name = "daemon " + aObservation.daemon_.Value();
  auto& [start, last] = lastObserved_[aObservation.daemon_];
  const bool fresh = start != aObservation.startedAt_;
  if (!fresh && offset < last) {
    Report(8, name + " went back to an older configuration");
  }
  if (const auto earlierState = fleetStates_.find(offset);
      earlierState != fleetStates_.end() && (fresh || offset != last) &&
      earlierState->second != DescribeFleetState(*aObservation.fleet_)) {
    Report(8, name + " has another configuration at one offset");
  }
  start = aObservation.startedAt_;
  last = offset;
  const auto missing = acceptedAt_.upper_bound(offset);
  if (aObservation.ready_ && missing != acceptedAt_.end() &&
      now_ - std::max(missing->second, aObservation.resumedAt_) >
        kMaxConfigurationDelay) {
    Report(8, name + " lacks " + Name("offset", missing->first));
    acceptedAt_.erase(missing);
  }
}

// Rule 2: each VM is in exactly one pool.
void
Oracle::CheckPools(const FleetState& aFleet)
{
  std::map<VmId, std::size_t> pools;
  for (const auto& [id, pool] : aFleet.pools_) {
    for (const VmId& vm : pool.vms_) {
      ++pools[vm];
      if (!aFleet.vms_.contains(vm) || aFleet.vms_.at(vm).pool_ != id) {
        Report(2, "pool " + id.Value() + " holds VM " + vm.Value());
      }
    }
  }
  for (const auto& [id, vm] : aFleet.vms_) {
    if (pools[id] != 1) {
      Report(2, "VM " + id.Value() + " is not in exactly one pool");
    }
  }
}

// Rule 1: after a new planned stop, every service of the pool still has at
// least the number of serving VMs of its availability budget.
void
Oracle::CheckBudgets(const FleetState& aFleet)
{
  std::set<VmId> plannedStops;
  for (const auto& [id, vm] : aFleet.vms_) {
    const bool planned = IsPlannedStop(vm);
    if (!planned) {
      continue;
    }
    plannedStops.insert(id);
    if (plannedStops_.contains(id) || vm.down_) {
      continue;
    }
    for (const ServiceId& service : aFleet.pools_.at(vm.pool_).services_) {
      const auto& members = aFleet.pools_.at(vm.pool_).vms_;
      const auto serving = std::ranges::count_if(members, [&](const VmId& aId) {
        return CanServe(aId, aFleet.vms_.at(aId));
      });
      const auto budget = aFleet.services_.at(service).budget_.Value();
      if (serving < budget) {
        Report(1,
               "the planned stop of VM " + id.Value() + " leaves service " +
                 service.Value() + " " + std::to_string(serving) + " of " +
                 std::to_string(budget));
      }
    }
  }
  plannedStops_ = std::move(plannedStops);
}

bool
Oracle::CanServe(const VmId& aId, const VmState& aVm) const
{
  const auto seen = vms_.find(aId);
  const bool failed =
    seen != vms_.end() &&
    KnownToAllDaemons(seen->second.downSince_, kFailureVisibleTime);
  return !aVm.down_ && !IsPlannedStop(aVm) && !failed;
}

std::string
DescribeFleetState(const FleetState& aFleet)
{
  std::ostringstream text;
  for (const auto& [id, pool] : aFleet.pools_) {
    text << id.Value() << (pool.spare_ ? " spare" : "") << '\n';
  }
  for (const auto& [id, service] : aFleet.services_) {
    text << id.Value() << ' ' << service.pool_.Value() << ' '
         << service.budget_.Value() << '\n';
  }
  std::map<VmId, const VmState*> vms;
  for (const auto& [id, vm] : aFleet.vms_) {
    vms[id] = &vm;
  }
  for (const auto& [id, vm] : vms) {
    text << id.Value() << ' ' << vm->pool_.Value() << vm->down_ << vm->draining_
         << ' ' << vm->stopWave_.Value() << ' ' << vm->movingTo_.Value() << ' '
         << vm->facts_.boots_.Value() << '\n';
  }
  for (const auto& [id, wave] : aFleet.waves_) {
    text << id.Value() << wave.paused_ << wave.ended_;
    for (const auto& [vm, status] : wave.stops_) {
      text << ' ' << vm.Value() << static_cast<int>(status);
    }
    text << '\n';
  }
  for (const auto& [id, value] : aFleet.settings_) {
    text << id.Value() << ' ' << value << '\n';
  }
  return text.str();
}

} // namespace verbenawell::fuzz
