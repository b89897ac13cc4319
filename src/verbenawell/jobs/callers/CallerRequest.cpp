#include "verbenawell/jobs/callers/CallerRequest.h"

#include "verbenawell/core/Overloaded.h"
#include "verbenawell/jobs/journal/JournalRecord.h"

namespace verbenawell::jobs {

JobId
JobOf(const CallerAction& aAction)
{
  return std::visit(
    Overloaded{ [](const CountPending&) { return JobId{}; },
                [](const ReportQuotas&) { return JobId{}; },
                [](const AdoptJob& aAdopt) { return aAdopt.job_->job_; },
                [](const auto& aKnown) { return aKnown.job_; } },
    aAction);
}

bool
IsBetweenShards(const CallerAction& aAction)
{
  return std::holds_alternative<AdoptJob>(aAction) ||
         std::holds_alternative<FindAdoptedJob>(aAction) ||
         std::holds_alternative<ReportQuotas>(aAction);
}

std::string_view
ToString(RejectReason aReason)
{
  switch (aReason) {
    case RejectReason::NoConfiguration:
      return "no_configuration";
    case RejectReason::NoOwner:
      return "no_owner";
    case RejectReason::StoreUnavailable:
      return "store_away";
    case RejectReason::Overload:
      return "overload";
    case RejectReason::WorkspaceOverload:
      return "workspace_overload";
    case RejectReason::QuotaTooSmall:
      return "quota_too_small";
    case RejectReason::IdInUse:
      return "id_in_use";
  }
  return "unknown";
}

std::string_view
ToString(JobState aState)
{
  switch (aState) {
    case JobState::Queued:
      return "queued";
    case JobState::Running:
      return "running";
    case JobState::Completed:
      return "completed";
    case JobState::Failed:
      return "failed";
    case JobState::Cancelled:
      return "cancelled";
  }
  return "unknown";
}

} // namespace verbenawell::jobs
