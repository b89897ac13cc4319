#include "FaultScheduler.h"

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
FaultScheduler::Schedule(const FaultPlan& aPlan)
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
FaultScheduler::Begin(const PlannedFault& aPlanned)
{
  const std::size_t subject = aPlanned.subject_;
  const std::size_t node = subject % cluster_.Nodes().size();
  const VmFacts& vm = platform_.SelectVm(subject).listing_.facts_;
  std::visit(
    Overloaded{
      [&](const CountedFault& aFault) {
        ++(world_.activeFaults_.*aFault.counter_);
      },
      [&](const LogRecordsExpire&) { log_.Expire(); },
      [&](const VmFails&) { platform_.Fail(vm.vm_); },
      [&](const RackFails&) { platform_.FailRack(vm.rack_); },
      [&](const VmLeaves&) {
        platform_.SelectVm(subject).listing_.leaving_ = true;
      },
      [&](const WorkerModeChanges& aChange) {
        platform_.SelectVm(subject).mode_ = aChange.mode_;
      },
      [&](const LogDisconnected&) { cluster_.SetLogDisconnected(node, true); },
      [&](const CallersDisconnect&) { frontEnd_.DisconnectCallers(70); },
      [&](const DaemonKilled&) { cluster_.Kill(node); },
      [&](const DaemonStopped&) { cluster_.ReplyTo(node)(StopRequested{}); },
      [&](const DaemonPaused&) { cluster_.Pause(node); },
      [&](const PeerConnectionsStall&) { cluster_.StallConnections(node); },
      [&](const ZoneIsolated&) { cluster_.Isolate(ZoneOf(subject)); },
      [&](const OperatorsRace&) {
        for (int left = kRacingCommands; left > 0; --left) {
          frontEnd_.SendRandomCommand();
        }
      },
      [&](const WaveStarts&) {
        const std::string pool = subject % 2 == 0 ? "web" : "batch";
        frontEnd_.SendCommand(node,
                              "start wave planned" + std::to_string(subject) +
                                " over " + pool);
      },
      [](const auto&) {},
    },
    AllFaults().at(aPlanned.kind_).fault_);
}

void
FaultScheduler::End(const PlannedFault& aPlanned)
{
  const std::size_t subject = aPlanned.subject_;
  const std::size_t node = subject % cluster_.Nodes().size();
  std::visit(
    Overloaded{
      [&](const CountedFault& aFault) {
        --(world_.activeFaults_.*aFault.counter_);
      },
      [&](const VmLeaves&) {
        platform_.SelectVm(subject).listing_.leaving_ = false;
      },
      [&](const WorkerModeChanges&) {
        platform_.SelectVm(subject).mode_ = WorkerMode::Healthy;
      },
      [&](const LogDisconnected&) { cluster_.SetLogDisconnected(node, false); },
      [&](const DaemonKilled&) { StartIfDown(node); },
      [&](const DaemonPaused&) { cluster_.Resume(node); },
      [&](const ZoneIsolated&) { cluster_.Rejoin(ZoneOf(subject)); },
      [](const auto&) {},
    },
    AllFaults().at(aPlanned.kind_).fault_);
}

void
FaultScheduler::StartIfDown(std::size_t aNode)
{
  if (!cluster_.IsUp(aNode)) {
    cluster_.Start(aNode);
  }
}

void
FaultScheduler::HealAll()
{
  world_.Trace("heal");
  platform_.HealAll();
  for (std::size_t node = 0; node < cluster_.Nodes().size(); ++node) {
    StartIfDown(node);
    cluster_.Resume(node);
  }
}

} // namespace verbenawell::fuzz
