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
FakePlatform::Pick(std::size_t aSubject)
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
  if (world_.switches_.listStale_ == 0) {
    staleList_ = List();
  }
  const Duration delay = world_.switches_.listLate_ > 0
                           ? world_.Between(seconds(1), seconds(4))
                           : world_.Between(milliseconds(1), milliseconds(20));
  world_.After(delay, [this, aDaemon, aReply, list = staleList_] {
    for (const VmListing& vm : list) {
      world_.See(ListShown{ aDaemon, vm.facts_.vm_, vm.live_, vm.leaving_ });
    }
    aReply(VmListRead{ list });
  });
}

void
FakePlatform::Reboot(const RebootVm& aOrder, const Reply& aReply)
{
  world_.After(world_.Between(milliseconds(1), milliseconds(30)), [=, this] {
    Vm& vm = vms_.at(aOrder.vm_);
    const bool newest = vm.listing_.facts_.boots_ == aOrder.boots_;
    if (newest && vm.listing_.live_) {
      world_.Trace("reboot " + aOrder.vm_.Value());
      world_.See(RebootStarted{ aOrder.vm_ });
      Stop(vm, RunEnd::Cut);
      if (world_.switches_.bootsHang_ == 0) {
        const std::uint64_t stop = vm.stops_;
        world_.After(world_.Between(seconds(1), seconds(3)), [this, &vm, stop] {
          if (vm.stops_ == stop) {
            Boot(vm);
          }
        });
      }
    }
    aReply(RebootAnswered{ aOrder.vm_, newest, newest ? "" : "older boot" });
  });
}

void
FakePlatform::Work(const WorkOrder& aOrder, const Done& aDone)
{
  world_.After(world_.Between(milliseconds(0), milliseconds(3)), [=, this] {
    const Vm& vm = vms_.at(aOrder.start_.vm_);
    const bool abandoned =
      abandoned_.erase({ aOrder.call_, aOrder.start_.attempt_ }) > 0;
    if (!vm.listing_.live_ || vm.mode_ == WorkerMode::RefusingConnections) {
      aDone({ NotSent{}, {} });
    } else if (vm.mode_ == WorkerMode::Busy) {
      aDone({ RefusedByWorker{}, {} });
    } else if (!abandoned || world_.Chance(50)) {
      Start(aOrder, aDone);
      if (abandoned) {
        Abandon(aOrder.call_, aOrder.start_.attempt_);
      }
    } else {
      aDone({ CutAnswer{}, {} });
    }
  });
}

void
FakePlatform::Start(const WorkOrder& aOrder, const Done& aDone)
{
  const RunId id = ++lastRun_;
  const Vm& vm = vms_.at(aOrder.start_.vm_);
  runs_[id] = {
    aOrder.start_.vm_, aOrder.call_, aOrder.start_.attempt_, aDone
  };
  world_.See(RunStarted{
    id, aOrder.call_, aOrder.start_.vm_, vm.listing_.facts_.slots_ });
  world_.Trace("run " + aOrder.request_.Value() + " on " +
               aOrder.start_.vm_.Value() + ", attempt " +
               std::to_string(aOrder.start_.attempt_.Value()));
  Duration time = aOrder.runTime_;
  RunEnd how = RunEnd::Whole;
  WorkResult result{ WholeAnswer{ 200, ByteCount{ 100 } },
                     Answer{ id, aOrder.request_ } };
  if (vm.mode_ == WorkerMode::FailingFast) {
    time = milliseconds(1);
    result.outcome_ = WholeAnswer{ 500, ByteCount{ 10 } };
  } else if (vm.mode_ == WorkerMode::Cutting) {
    time = time / 2;
    how = RunEnd::Cut;
    result = { CutAnswer{}, {} };
  }
  // The entry daemon's read time-out ends the attempt.
  if (vm.mode_ == WorkerMode::Silent || time > aOrder.start_.timeLeft_) {
    time = aOrder.start_.timeLeft_;
    how = RunEnd::Abandoned;
    result = { LateAnswer{}, {} };
  }
  world_.After(time, [this, id, how, result] { End(id, how, result); });
}

void
FakePlatform::End(RunId aRun, RunEnd aHow, const WorkResult& aResult)
{
  const auto found = runs_.find(aRun);
  if (found == runs_.end()) {
    return;
  }
  const Done done = std::move(found->second.done_);
  runs_.erase(found);
  world_.See(RunEnded{ aRun, aHow });
  world_.After(world_.Between(milliseconds(0), milliseconds(3)),
               [done, aResult] { done(aResult); });
}

void
FakePlatform::Abandon(CallId aCall, AttemptId aAttempt)
{
  for (const auto& [id, run] : runs_) {
    if (run.call_ == aCall && run.attempt_ == aAttempt) {
      End(id, RunEnd::Abandoned, { CutAnswer{}, {} });
      return;
    }
  }
  abandoned_.insert({ aCall, aAttempt });
}

void
FakePlatform::Stop(Vm& aVm, RunEnd aHow)
{
  aVm.listing_.live_ = false;
  ++aVm.stops_;
  std::vector<RunId> cut;
  for (const auto& [id, run] : runs_) {
    if (run.vm_ == aVm.listing_.facts_.vm_) {
      cut.push_back(id);
    }
  }
  for (const RunId id : cut) {
    End(id, aHow, { CutAnswer{}, {} });
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
      ++vm.stops_;
      Boot(vm);
    }
  }
}

} // namespace verbenawell::fuzz
