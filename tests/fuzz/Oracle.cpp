#include "Oracle.h"

#include "verbenawell/core/Overloaded.h"

#include <algorithm>
#include <sstream>
#include <utility>

namespace verbenawell::fuzz {

namespace {

// Rule 6 of docs/design.md.
constexpr Duration kLeavingLimit = std::chrono::seconds(3);
// Rule 8 of docs/design.md.
constexpr Duration kConfigLimit = std::chrono::seconds(4);
// A VM that the VM list reports as down for this long counts as failed.
constexpr Duration kFailureKnown = std::chrono::seconds(4);
// Time for which a pool can have two owners. Section 10 of docs/design.md: a
// daemon is declared dead within 2 s, and the next owner waits for slot reports
// for at most 1 s.
constexpr Duration kTwoOwnersLimit = std::chrono::seconds(3);

std::string
Name(const std::string& aKind, auto aId)
{
  return aKind + " " + std::to_string(aId.Value());
}

bool
IsPlannedStop(const VmState& aVm)
{
  return aVm.draining_ || !aVm.stop_.IsEmpty() || !aVm.movingTo_.IsEmpty();
}

} // namespace

void
Oracle::See(TimePoint aNow, const Sighting& aSighting)
{
  now_ = aNow;
  std::visit([this](const auto& aSeen) { On(aSeen); }, aSighting);
}

void
Oracle::Report(int aRule, std::string aWhat)
{
  violations_.push_back({ aRule, now_, std::move(aWhat) });
}

void
Oracle::On(const CallSent& aSighting)
{
  calls_[aSighting.call_].sent_ = aSighting;
  ++open_;
}

// Rule 3: a caller gets the complete response to its own request. Rule 4: "not
// run" is reported only if no worker ran the request.
void
Oracle::On(const CallEnded& aSighting)
{
  Call& call = calls_.at(aSighting.call_);
  const std::string name = Name("call", aSighting.call_);
  if (std::exchange(call.ended_, true)) {
    Report(0, name + " has two outcomes");
    return;
  }
  --open_;
  if (const auto* answer = std::get_if<Answer>(&aSighting.outcome_)) {
    const Run& run = runs_.at(answer->run_);
    if (run.started_.call_ != aSighting.call_) {
      Report(3,
             name + " got the answer to " + Name("call", run.started_.call_));
    } else if (run.end_ != RunEnd::Whole) {
      Report(3, name + " got an incomplete answer");
    }
  } else if (std::holds_alternative<NotRun>(aSighting.outcome_) &&
             call.runs_ > 0) {
    Report(
      4,
      name + " was told \"not run\" (" +
        std::string(ToString(std::get<NotRun>(aSighting.outcome_).reason_)) +
        ") after a run");
  }
}

// Rule 4 counts the runs of a call. Rule 5: a non-idempotent request runs at
// most once. Rule 6: a leaving or drained VM gets no new requests.
void
Oracle::On(const RunStarted& aSighting)
{
  runs_[aSighting.run_] = { aSighting, {}, IsDisturbed() };
  Vm& vm = vms_[aSighting.vm_];
  vm.running_.insert(aSighting.run_);
  CheckSlots(aSighting);
  Call& call = calls_.at(aSighting.call_);
  ++call.runs_;
  const RequestId& request = call.sent_.request_;
  if (!call.sent_.idempotent_ && ++runsOfOnce_[request] > 1) {
    Report(5, "non-idempotent request " + request.Value() + " ran again");
  }
  if (IsKnown(vm.leavingSince_, kLeavingLimit)) {
    Report(6, "VM " + aSighting.vm_.Value() + " got work while leaving");
  }
  if (vm.drainedSince_ && now_ - *vm.drainedSince_ > kLeavingLimit) {
    Report(6, "VM " + aSighting.vm_.Value() + " got work after its drain");
  }
}

// Rule 2: two owners grant the slots of one worker only for a bounded time
// after daemons lost the connection to each other.
void
Oracle::CheckSlots(const RunStarted& aSighting)
{
  const auto& running = vms_[aSighting.vm_].running_;
  const auto counted = std::ranges::count_if(
    running, [this](const RunId aRun) { return !runs_.at(aRun).disturbed_; });
  if (static_cast<std::uint64_t>(counted) > aSighting.slots_.Value()) {
    Report(2,
           "VM " + aSighting.vm_.Value() + " runs " + std::to_string(counted) +
             " requests in " + std::to_string(aSighting.slots_.Value()) +
             " slots");
  }
}

bool
Oracle::IsDisturbed() const
{
  return disturbedAt_ && now_ - *disturbedAt_ <= kTwoOwnersLimit;
}

bool
Oracle::IsKnown(const ShownSince& aSince, Duration aLimit) const
{
  return !running_.empty() &&
         std::ranges::all_of(running_, [&](const auto& aDaemon) {
           const auto shown = aSince.find(aDaemon.first);
           return shown != aSince.end() &&
                  now_ - std::max(shown->second, aDaemon.second) > aLimit;
         });
}

void
Oracle::On(const DaemonRuns& aSighting)
{
  if (aSighting.runs_) {
    running_[aSighting.daemon_] = now_;
    for (auto& [id, vm] : vms_) {
      vm.downSince_.erase(aSighting.daemon_);
      vm.leavingSince_.erase(aSighting.daemon_);
    }
  } else {
    running_.erase(aSighting.daemon_);
  }
  On(PeersDisturbed{});
}

void
Oracle::On(const DaemonResumed& aSighting)
{
  running_[aSighting.daemon_] = now_;
  On(PeersDisturbed{});
}

void
Oracle::On(const PeersDisturbed& /*aSighting*/)
{
  disturbedAt_ = now_;
  for (auto& [id, vm] : vms_) {
    for (const RunId run : vm.running_) {
      runs_.at(run).disturbed_ = true;
    }
  }
}

void
Oracle::On(const RunEnded& aSighting)
{
  Run& run = runs_.at(aSighting.run_);
  run.end_ = aSighting.how_;
  vms_[run.started_.vm_].running_.erase(aSighting.run_);
}

// Rule 7: a planned stop interrupts no request.
void
Oracle::On(const RebootStarted& aSighting)
{
  for (const RunId run : vms_[aSighting.vm_].running_) {
    Report(7,
           "the planned stop of VM " + aSighting.vm_.Value() + " cut " +
             Name("call", runs_.at(run).started_.call_));
  }
}

void
Oracle::On(const ListShown& aSighting)
{
  Vm& vm = vms_[aSighting.vm_];
  const auto note = [&](bool aIs, ShownSince& aSince) {
    if (aIs) {
      aSince.try_emplace(aSighting.daemon_, now_);
    } else {
      aSince.erase(aSighting.daemon_);
    }
  };
  note(!aSighting.live_, vm.downSince_);
  note(aSighting.leaving_, vm.leavingSince_);
}

void
Oracle::On(const ChangeAccepted& aSighting)
{
  accepted_.try_emplace(aSighting.offset_, now_);
  std::istringstream words{ aSighting.command_ };
  std::string verb;
  std::string vm;
  words >> verb >> vm;
  // The response may arrive after another operator has ended the drain.
  if (verb == "drain" && vms_[VmId{ vm }].undrained_ < aSighting.offset_) {
    vms_[VmId{ vm }].drainedSince_ = now_;
  } else if (verb == "undrain") {
    vms_[VmId{ vm }].drainedSince_.reset();
  }
}

void
Oracle::On(const FoldShown& aSighting)
{
  CheckOffset(aSighting);
  const FleetState& fleet = *aSighting.fleet_;
  if (folds_.contains(fleet.through_)) {
    return;
  }
  const bool newest = folds_.empty() || folds_.rbegin()->first < fleet.through_;
  folds_[fleet.through_] = DescribeFold(fleet);
  CheckPools(fleet);
  if (newest) {
    CheckBudgets(fleet);
  }
  // The rule no longer applies once another operator has ended the drain.
  for (const auto& [id, vm] : fleet.vms_) {
    if (newest && !vm.draining_) {
      vms_[id].drainedSince_.reset();
      vms_[id].undrained_ = fleet.through_;
    }
  }
}

// Rule 8: a configuration reaches all daemons in time, is the same for all of
// them, and is never reverted to an older one.
void
Oracle::CheckOffset(const FoldShown& aSighting)
{
  const Offset offset = aSighting.fleet_->through_;
  const std::string name = "daemon " + aSighting.daemon_.Value();
  auto& [start, last] = shown_[aSighting.daemon_];
  const bool fresh = start != aSighting.startedAt_;
  if (!fresh && offset < last) {
    Report(8, name + " went back to an older configuration");
  }
  if (const auto fold = folds_.find(offset);
      fold != folds_.end() && (fresh || offset != last) &&
      fold->second != DescribeFold(*aSighting.fleet_)) {
    Report(8, name + " has another configuration at one offset");
  }
  start = aSighting.startedAt_;
  last = offset;
  const auto missing = accepted_.upper_bound(offset);
  if (aSighting.ready_ && missing != accepted_.end() &&
      now_ - std::max(missing->second, aSighting.resumedAt_) > kConfigLimit) {
    Report(8, name + " lacks " + Name("offset", missing->first));
    accepted_.erase(missing);
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
  std::set<VmId> stopped;
  for (const auto& [id, vm] : aFleet.vms_) {
    const bool planned = IsPlannedStop(vm);
    if (!planned) {
      continue;
    }
    stopped.insert(id);
    if (stopped_.contains(id) || vm.down_) {
      continue;
    }
    for (const ServiceId& service : aFleet.pools_.at(vm.pool_).services_) {
      const auto& members = aFleet.pools_.at(vm.pool_).vms_;
      const auto serving = std::ranges::count_if(members, [&](const VmId& aId) {
        return Serves(aId, aFleet.vms_.at(aId));
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
  stopped_ = std::move(stopped);
}

bool
Oracle::Serves(const VmId& aId, const VmState& aVm) const
{
  const auto seen = vms_.find(aId);
  const bool failed =
    seen != vms_.end() && IsKnown(seen->second.downSince_, kFailureKnown);
  return !aVm.down_ && !IsPlannedStop(aVm) && !failed;
}

std::string
DescribeFold(const FleetState& aFleet)
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
         << ' ' << vm->stop_.Value() << ' ' << vm->movingTo_.Value() << ' '
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
