#include "FakePlatform.h"

#include <iterator>
#include <utility>

namespace verbenawell::fuzz {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

} // namespace

void
FakePlatform::AddVm(const VmListing& aListing)
{
  vms_[aListing.facts_.vm_] = { aListing, WorkerMode::Healthy, 0 };
}

FakePlatform::Vm&
FakePlatform::SelectVm(std::size_t aSubject)
{
  return std::next(vms_.begin(),
                   static_cast<std::ptrdiff_t>(aSubject % vms_.size()))
    ->second;
}

std::vector<VmListing>
FakePlatform::List() const
{
  std::vector<VmListing> list;
  for (const auto& [id, vm] : vms_) {
    list.push_back(vm.listing_);
  }
  return list;
}

void
FakePlatform::ReadList(const DaemonId& aDaemon, const Reply& aReply)
{
  if (world_.activeFaults_.listStale_ == 0) {
    staleList_ = List();
  }
  const Duration delay = world_.activeFaults_.listDelayed_ > 0
                           ? world_.Between(seconds(1), seconds(4))
                           : world_.Between(milliseconds(1), milliseconds(20));
  world_.After(delay, [this, aDaemon, aReply, list = staleList_] {
    for (const VmListing& vm : list) {
      world_.Observe(
        VmListReceived{ aDaemon, vm.facts_.vm_, vm.live_, vm.leaving_ });
    }
    aReply(VmListRead{ list });
  });
}

void
FakePlatform::Reboot(const RebootVm& aCommand, const Reply& aReply)
{
  world_.After(world_.Between(milliseconds(1), milliseconds(30)), [=, this] {
    Vm& vm = vms_.at(aCommand.vm_);
    const bool newest = vm.listing_.facts_.boots_ == aCommand.boots_;
    if (newest && vm.listing_.live_) {
      world_.Trace("reboot " + aCommand.vm_.Value());
      world_.Observe(RebootStarted{ aCommand.vm_ });
      Stop(vm, RunEnd::ClosedByWorker);
      if (world_.activeFaults_.bootsHang_ == 0) {
        const std::uint64_t stopCount = vm.stopCount_;
        world_.After(world_.Between(seconds(1), seconds(3)),
                     [this, &vm, stopCount] {
                       if (vm.stopCount_ == stopCount) {
                         Boot(vm);
                       }
                     });
      }
    }
    aReply(RebootCommandCompleted{
      aCommand.vm_, newest, newest ? "" : "older boot" });
  });
}

void
FakePlatform::SendToWorker(const WorkerRequest& aRequest,
                           const CompletionHandler& aDone)
{
  world_.After(world_.Between(milliseconds(0), milliseconds(3)), [=, this] {
    const Vm& vm = vms_.at(aRequest.start_.vm_);
    const bool abandoned =
      abandoned_.erase({ aRequest.call_, aRequest.start_.attempt_ }) > 0;
    if (!vm.listing_.live_ || vm.mode_ == WorkerMode::RefusingConnections) {
      aDone({ NotSent{}, {} });
    } else if (vm.mode_ == WorkerMode::Busy) {
      aDone({ RefusedByWorker{}, {} });
    } else if (!abandoned || world_.Chance(50)) {
      Start(aRequest, aDone);
      if (abandoned) {
        Abandon(aRequest.call_, aRequest.start_.attempt_);
      }
    } else {
      aDone({ TruncatedResponse{}, {} });
    }
  });
}

void
FakePlatform::Start(const WorkerRequest& aRequest,
                    const CompletionHandler& aDone)
{
  const RunId id = ++lastRun_;
  const Vm& vm = vms_.at(aRequest.start_.vm_);
  runs_[id] = {
    aRequest.start_.vm_, aRequest.call_, aRequest.start_.attempt_, aDone
  };
  world_.Observe(RunStarted{
    id, aRequest.call_, aRequest.start_.vm_, vm.listing_.facts_.slots_ });
  world_.Trace("run " + aRequest.request_.Value() + " on " +
               aRequest.start_.vm_.Value() + ", attempt " +
               std::to_string(aRequest.start_.attempt_.Value()));
  Duration time = aRequest.runTime_;
  RunEnd runEnd = RunEnd::Complete;
  WorkerResult result{ CompleteResponse{ 200, ByteCount{ 100 } },
                       WorkerResponse{ id, aRequest.request_ } };
  if (vm.mode_ == WorkerMode::FailingFast) {
    time = milliseconds(1);
    result.outcome_ = CompleteResponse{ 500, ByteCount{ 10 } };
  } else if (vm.mode_ == WorkerMode::ClosingConnections) {
    time = time / 2;
    runEnd = RunEnd::ClosedByWorker;
    result = { TruncatedResponse{}, {} };
  }
  // The entry daemon's read time-out ends the attempt.
  if (vm.mode_ == WorkerMode::Unresponsive ||
      time > aRequest.start_.timeLeft_) {
    time = aRequest.start_.timeLeft_;
    runEnd = RunEnd::Abandoned;
    result = { ResponseTimeout{}, {} };
  }
  world_.After(time, [this, id, runEnd, result] { End(id, runEnd, result); });
}

void
FakePlatform::End(RunId aRun, RunEnd aRunEnd, const WorkerResult& aResult)
{
  const auto found = runs_.find(aRun);
  if (found == runs_.end()) {
    return;
  }
  const CompletionHandler done = std::move(found->second.done_);
  runs_.erase(found);
  world_.Observe(RunEnded{ aRun, aRunEnd });
  world_.After(world_.Between(milliseconds(0), milliseconds(3)),
               [done, aResult] { done(aResult); });
}

void
FakePlatform::Abandon(CallId aCall, AttemptId aAttempt)
{
  for (const auto& [id, run] : runs_) {
    if (run.call_ == aCall && run.attempt_ == aAttempt) {
      End(id, RunEnd::Abandoned, { TruncatedResponse{}, {} });
      return;
    }
  }
  abandoned_.insert({ aCall, aAttempt });
}

void
FakePlatform::Stop(Vm& aVm, RunEnd aRunEnd)
{
  aVm.listing_.live_ = false;
  ++aVm.stopCount_;
  std::vector<RunId> cut;
  for (const auto& [id, run] : runs_) {
    if (run.vm_ == aVm.listing_.facts_.vm_) {
      cut.push_back(id);
    }
  }
  for (const RunId id : cut) {
    End(id, aRunEnd, { TruncatedResponse{}, {} });
  }
}

void
FakePlatform::Boot(Vm& aVm)
{
  aVm.listing_.live_ = true;
  ++aVm.listing_.facts_.boots_;
}

void
FakePlatform::Fail(const VmId& aVm)
{
  world_.Trace("VM " + aVm.Value() + " fails");
  Stop(vms_.at(aVm), RunEnd::VmFailed);
}

void
FakePlatform::FailRack(const RackId& aRack)
{
  for (const auto& [id, vm] : vms_) {
    if (vm.listing_.facts_.rack_ == aRack) {
      Fail(id);
    }
  }
}

void
FakePlatform::HealAll()
{
  for (auto& [id, vm] : vms_) {
    vm.mode_ = WorkerMode::Healthy;
    vm.listing_.leaving_ = false;
    if (!vm.listing_.live_) {
      ++vm.stopCount_;
      Boot(vm);
    }
  }
}

} // namespace verbenawell::fuzz
