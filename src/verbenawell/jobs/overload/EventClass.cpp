#include "verbenawell/jobs/overload/EventClass.h"

#include "verbenawell/core/Overloaded.h"

#include <variant>

namespace verbenawell::jobs {

namespace {

EventClass
ClassOfTimer(const TimerKey& aKey)
{
  return std::visit(
    Overloaded{ [](const OwnershipTick&) { return EventClass::Ownership; },
                [](const JournalRetry&) { return EventClass::Ownership; },
                [](const ExitTick&) { return EventClass::Ownership; },
                [](const CallersTick&) { return EventClass::Cancel; },
                [](const CommandRetry&) { return EventClass::Cancel; },
                [](const PlacementPass&) { return EventClass::Start; },
                [](const JobsTick&) { return EventClass::Start; },
                [](const PoolsTick&) { return EventClass::Start; },
                // Leases are checked behind the reports that have arrived
                // before: a report that waits is no sign of a lost worker.
                [](const auto&) { return EventClass::Worker; } },
    aKey);
}

EventClass
ClassOfAction(const CallerAction& aAction)
{
  return std::visit(
    Overloaded{ [](const CancelJob&) { return EventClass::Cancel; },
                [](const SubmitJob&) { return EventClass::Start; },
                [](const AdoptJob&) { return EventClass::Start; },
                [](const ReportQuotas&) { return EventClass::Start; },
                [](const auto&) { return EventClass::Read; } },
    aAction);
}

} // namespace

std::string_view
ToString(EventClass aClass)
{
  switch (aClass) {
    case EventClass::Ownership:
      return "ownership";
    case EventClass::Cancel:
      return "cancel";
    case EventClass::Worker:
      return "worker";
    case EventClass::Start:
      return "start";
    case EventClass::Read:
      return "read";
  }
  return "unknown";
}

// Events that arrive on different connections have no order that a reducer
// could rely on, so to take one before another is the same as a slower network.
// Order matters only in these cases, which share a class or descend in it:
// - All results of a partition of the owner topic or of the journal.
// - All results of lease renewals, the list of workers and the list of VMs: a
//   worker must not count as ended while its last report waits. A result of a
//   stop may be handled earlier, since it names the incarnation and run that it
//   is about, and since a run counts as missing only from a report that was
//   requested after the stop's result was handled.
// - A disconnect follows its request.
EventClass
ClassOf(const Event& aEvent)
{
  return std::visit(
    Overloaded{
      [](const Started&) { return EventClass::Ownership; },
      [](const StopRequested&) { return EventClass::Ownership; },
      [](const OwnerRead&) { return EventClass::Ownership; },
      [](const OwnerReadFailed&) { return EventClass::Ownership; },
      [](const OwnerAppended&) { return EventClass::Ownership; },
      [](const OwnerAppendRefused&) { return EventClass::Ownership; },
      [](const OwnerAppendFailed&) { return EventClass::Ownership; },
      [](const JournalFenced&) { return EventClass::Ownership; },
      [](const JournalEpochRefused&) { return EventClass::Ownership; },
      [](const JournalPageRead&) { return EventClass::Ownership; },
      [](const JournalCallFailed&) { return EventClass::Ownership; },
      [](const JournalAppended&) { return EventClass::Ownership; },
      [](const JournalOutOfSequence&) { return EventClass::Ownership; },
      [](const JournalAppendFailed&) { return EventClass::Ownership; },
      [](const LoopDelayMeasured&) { return EventClass::Ownership; },
      [](const TimerDue& aDue) { return ClassOfTimer(aDue.key_); },
      [](const CallerRequested& aRequest) {
        return ClassOfAction(aRequest.request_.action_);
      },
      [](const CallerDisconnected&) { return EventClass::Read; },
      [](const ForwardCompleted&) { return EventClass::Cancel; },
      [](const StopCommandCompleted&) { return EventClass::Cancel; },
      [](const AdviceReceived&) { return EventClass::Start; },
      [](const AdviceFailed&) { return EventClass::Start; },
      [](const auto&) { return EventClass::Worker; } },
    aEvent);
}

} // namespace verbenawell::jobs
