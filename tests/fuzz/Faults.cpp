#include "Faults.h"

#include "verbenawell/core/Overloaded.h"

namespace verbenawell::fuzz {

namespace {

constexpr std::size_t kZones = 3;
constexpr int kRacingCommands = 6;

ZoneId
ZoneOf(std::size_t aSubject)
{
  return ZoneId{ "z" + std::to_string(aSubject % kZones) };
}

} // namespace

void
Faults::Schedule(const FaultPlan& aPlan)
{
  for (const PlannedFault& planned : aPlan) {
    const std::string name{ AllFaults().at(planned.kind_).name_ };
    world_.After(planned.at_, [this, planned, name] {
      world_.Trace(name);
      Begin(planned);
    });
    world_.After(planned.at_ + planned.length_, [this, planned, name] {
      world_.Trace("end of " + name);
      End(planned);
    });
  }
}

void
Faults::Begin(const PlannedFault& aPlanned)
{
  const std::size_t subject = aPlanned.subject_;
  const std::size_t node = subject % cluster_.Nodes().size();
  const VmFacts& vm = platform_.Pick(subject).listing_.facts_;
  std::visit(
    Overloaded{
      [&](const SwitchedOn& aSwitch) { ++(world_.switches_.*aSwitch.count_); },
      [&](const LogExpires&) { log_.Expire(); },
      [&](const VmFails&) { platform_.Fail(vm.vm_); },
      [&](const RackFails&) { platform_.FailRack(vm.rack_); },
      [&](const VmLeaves&) {
        platform_.Pick(subject).listing_.leaving_ = true;
      },
      [&](const WorkerTurns& aTurn) {
        platform_.Pick(subject).mode_ = aTurn.mode_;
      },
      [&](const LogCut&) { cluster_.CutLog(node, true); },
      [&](const CallersHangUp&) { frontEnd_.HangUp(70); },
      [&](const DaemonKilled&) { cluster_.Kill(node); },
      [&](const DaemonStopped&) { cluster_.ReplyTo(node)(StopRequested{}); },
      [&](const DaemonPaused&) { cluster_.Pause(node); },
      [&](const PeersSilent&) { cluster_.Silence(node); },
      [&](const ZoneIsolated&) { cluster_.Isolate(ZoneOf(subject)); },
      [&](const OperatorsRace&) {
        for (int left = kRacingCommands; left > 0; --left) {
          frontEnd_.RandomCommand();
        }
      },
      [&](const WaveStarts&) {
        const std::string pool = subject % 2 == 0 ? "web" : "batch";
        frontEnd_.Command(node,
                          "start wave planned" + std::to_string(subject) +
                            " over " + pool);
      },
      [](const auto&) {},
    },
    AllFaults().at(aPlanned.kind_).fault_);
}

void
Faults::End(const PlannedFault& aPlanned)
{
  const std::size_t subject = aPlanned.subject_;
  const std::size_t node = subject % cluster_.Nodes().size();
  std::visit(
    Overloaded{
      [&](const SwitchedOn& aSwitch) { --(world_.switches_.*aSwitch.count_); },
      [&](const VmLeaves&) {
        platform_.Pick(subject).listing_.leaving_ = false;
      },
      [&](const WorkerTurns&) {
        platform_.Pick(subject).mode_ = WorkerMode::Healthy;
      },
      [&](const LogCut&) { cluster_.CutLog(node, false); },
      [&](const DaemonKilled&) { Replace(node); },
      [&](const DaemonPaused&) { cluster_.Resume(node); },
      [&](const ZoneIsolated&) { cluster_.Rejoin(ZoneOf(subject)); },
      [](const auto&) {},
    },
    AllFaults().at(aPlanned.kind_).fault_);
}

void
Faults::Replace(std::size_t aNode)
{
  if (!cluster_.IsUp(aNode)) {
    cluster_.Start(aNode);
  }
}

void
Faults::HealAll()
{
  world_.Trace("heal");
  platform_.HealAll();
  for (std::size_t node = 0; node < cluster_.Nodes().size(); ++node) {
    Replace(node);
    cluster_.Resume(node);
  }
}

} // namespace verbenawell::fuzz
