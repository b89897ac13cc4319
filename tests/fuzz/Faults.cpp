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
    world_.After(planned.at_, [this, planned] {
      world_.Trace(std::string(kFaultNames.at(planned.fault_.index())));
      Begin(planned);
    });
    world_.After(planned.at_ + planned.length_, [this, planned] {
      world_.Trace("end of " +
                   std::string(kFaultNames.at(planned.fault_.index())));
      End(planned);
    });
  }
}

int*
Faults::CountOf(const Fault& aFault)
{
  return std::visit(
    Overloaded{
      [&](const LogDown&) { return &log_.down_; },
      [&](const LogSlow&) { return &log_.slow_; },
      [&](const LogLosesAnswers&) { return &log_.losesAnswers_; },
      [&](const LogRefuses&) { return &log_.refuses_; },
      [&](const ListLate&) { return &platform_.listLate_; },
      [&](const ListStale&) { return &platform_.listStale_; },
      [&](const BootsHang&) { return &platform_.bootsHang_; },
      [&](const FloodOfLong&) { return &frontEnd_.floodLong_; },
      [&](const FloodOfUrgent&) { return &frontEnd_.floodUrgent_; },
      [&](const WrongRunTimes&) { return &frontEnd_.wrongRunTimes_; },
      [&](const JobsThatNeverFit&) { return &frontEnd_.neverFits_; },
      [](const auto&) -> int* { return nullptr; },
    },
    aFault);
}

void
Faults::SetMode(std::size_t aSubject, WorkerMode aMode)
{
  platform_.Pick(aSubject).mode_ = aMode;
}

void
Faults::Begin(const PlannedFault& aPlanned)
{
  if (int* count = CountOf(aPlanned.fault_)) {
    ++*count;
    return;
  }
  const std::size_t subject = aPlanned.subject_;
  const std::size_t node = subject % cluster_.Nodes().size();
  const VmFacts& vm = platform_.Pick(subject).listing_.facts_;
  std::visit(
    Overloaded{
      [&](const LogExpires&) { log_.Expire(); },
      [&](const VmFails&) { platform_.Fail(vm.vm_); },
      [&](const RackFails&) { platform_.FailRack(vm.rack_); },
      [&](const VmLeaves&) {
        platform_.Pick(subject).listing_.leaving_ = true;
      },
      [&](const WorkerFailsFast&) {
        SetMode(subject, WorkerMode::FailingFast);
      },
      [&](const WorkerCuts&) { SetMode(subject, WorkerMode::Cutting); },
      [&](const WorkerSilent&) { SetMode(subject, WorkerMode::Silent); },
      [&](const WorkerRefuses&) {
        SetMode(subject, WorkerMode::RefusingConnections);
      },
      [&](const WorkerBusy&) { SetMode(subject, WorkerMode::Busy); },
      [&](const CallersHangUp&) { frontEnd_.HangUp(70); },
      [&](const DaemonKilled&) {
        frontEnd_.Break(node);
        cluster_.Kill(node);
      },
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
    aPlanned.fault_);
}

void
Faults::End(const PlannedFault& aPlanned)
{
  if (int* count = CountOf(aPlanned.fault_)) {
    --*count;
    return;
  }
  const std::size_t subject = aPlanned.subject_;
  const std::size_t node = subject % cluster_.Nodes().size();
  std::visit(
    Overloaded{
      [&](const VmLeaves&) {
        platform_.Pick(subject).listing_.leaving_ = false;
      },
      [&](const WorkerFailsFast&) { SetMode(subject, WorkerMode::Healthy); },
      [&](const WorkerCuts&) { SetMode(subject, WorkerMode::Healthy); },
      [&](const WorkerSilent&) { SetMode(subject, WorkerMode::Healthy); },
      [&](const WorkerRefuses&) { SetMode(subject, WorkerMode::Healthy); },
      [&](const WorkerBusy&) { SetMode(subject, WorkerMode::Healthy); },
      [&](const DaemonKilled&) { Replace(node); },
      [&](const DaemonPaused&) { cluster_.Resume(node); },
      [&](const PeersSilent&) { cluster_.Unsilence(node); },
      [&](const ZoneIsolated&) { cluster_.Rejoin(ZoneOf(subject)); },
      [](const auto&) {},
    },
    aPlanned.fault_);
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
