#include "verbenawell/jobs/callers/CallerRequest.h"

namespace verbenawell::jobs {

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
