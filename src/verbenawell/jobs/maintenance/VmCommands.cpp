#include "verbenawell/jobs/maintenance/VmCommands.h"

#include "verbenawell/core/Overloaded.h"
#include "verbenawell/jobs/ownership/OwnershipState.h"

#include <optional>
#include <string>
#include <utility>
#include <variant>
#include <vector>

namespace verbenawell::jobs {

namespace {

using namespace std::chrono_literals;

// The platform requires 3 s between commands of two owners for one VM, so a new
// owner waits for this time.
constexpr Duration kMinIntervalBetweenOwners = 3s;
// An owner sends VM commands only while its last renewal is younger than this,
// so that none is sent less than 3 s before those of its successor.
constexpr Duration kMaxRenewalAgeForVmCommands = 1500ms;
// Longest wait of a command for its connection.
constexpr Duration kMaxSendDelay = 1s;
// A live owner learns of a claim from its next renewal. Until then it sends
// commands.
constexpr Duration kMinIntervalAfterLiveOwner =
  kMinIntervalBetweenOwners + kMaxRenewalAgeForVmCommands + kMaxSendDelay;

std::optional<VmCommandFailure>
FailureOf(const VmCommandResult& aResult)
{
  using Failure = std::optional<VmCommandFailure>;
  return std::visit(
    Overloaded{
      [](VmCommandAccepted) { return Failure{}; },
      [](VmCommandBusy) { return Failure{ VmCommandFailure::Busy }; },
      [](VmCommandInvalid) { return Failure{ VmCommandFailure::Invalid }; },
      [](VmCommandFenced) { return Failure{ VmCommandFailure::Fenced }; },
      [](VmCommandUnconfirmed) {
        return Failure{ VmCommandFailure::Unconfirmed };
      } },
    aResult);
}

void
Report(const VmCommandResult& aResult,
       std::vector<std::pair<std::string, std::string>> aFields,
       Effects& aEffects)
{
  if (const auto failure = FailureOf(aResult)) {
    aFields.emplace_back("reason", ToString(*failure));
    aEffects.push_back(Count{ *failure });
    aEffects.push_back(
      LogLine{ LogLevel::Info, "vm_command_failed", std::move(aFields) });
  }
}

} // namespace

std::string_view
ToString(VmCommandFailure aFailure)
{
  switch (aFailure) {
    case VmCommandFailure::Busy:
      return "busy";
    case VmCommandFailure::Invalid:
      return "invalid";
    case VmCommandFailure::Fenced:
      return "fenced";
    case VmCommandFailure::Unconfirmed:
      return "unconfirmed";
  }
  return "unknown";
}

void
ReportResult(const MaintenanceCommandCompleted& aCommand, Effects& aEffects)
{
  Report(aCommand.result_,
         { { "command", "upkeep" },
           { "vm", aCommand.vm_.Value() },
           { "wave", std::to_string(aCommand.wave_.Value()) } },
         aEffects);
}

void
ReportResult(const VmMoveCompleted& aCommand, Effects& aEffects)
{
  Report(aCommand.result_,
         { { "command", "move" }, { "vm", aCommand.vm_.Value() } },
         aEffects);
}

bool
MayCommandVms(const Views& aViews, TimePoint aNow)
{
  const Owning* owning = aViews.ownership_.AsOwner();
  return owning != nullptr &&
         aNow - owning->renewalSentAt_ < kMaxRenewalAgeForVmCommands &&
         aNow - owning->takenAt_ >= (owning->isFromLiveOwner_
                                       ? kMinIntervalAfterLiveOwner
                                       : kMinIntervalBetweenOwners);
}

TimePoint
SendVmCommandsBefore(const Views& aViews)
{
  const Owning* owning = aViews.ownership_.AsOwner();
  return owning == nullptr ? TimePoint{}
                           : owning->renewalSentAt_ +
                               kMaxRenewalAgeForVmCommands + kMaxSendDelay;
}

} // namespace verbenawell::jobs
