#include "verbenawell/jobs/callers/internal/AttemptOutcome.h"

#include "verbenawell/core/Overloaded.h"

namespace verbenawell::jobs {

namespace {

// A daemon that rejects a request for these reasons has not looked for the job,
// which the present owner may know.
bool
IsBeforeJobLookup(RejectReason aReason)
{
  return aReason == RejectReason::NoConfiguration ||
         aReason == RejectReason::NoOwner;
}

} // namespace

bool
IsSubmission(const OpenRequest& aOpen)
{
  return std::holds_alternative<SubmitJob>(aOpen.request_.action_);
}

// A rejection only tells about the attempt that it responds to. If an earlier
// attempt got no response, its owner may have stored the job, and the rejected
// job would run.
AttemptOutcome
OutcomeOf(const OpenRequest& aOpen,
          const CallerResponse& aResponse,
          bool aHasEarlierAttempt)
{
  if (!IsSubmission(aOpen) || !aHasEarlierAttempt) {
    return PassOn{ aResponse };
  }
  return std::visit(
    Overloaded{
      [](const JobRejected& aRejected) {
        return IsBeforeJobLookup(aRejected.reason_)
                 ? AttemptOutcome{ SendAgain{} }
                 : AttemptOutcome{ PassOn{ OutcomeUnknown{} } };
      },
      [](const QueueUnknown&) {
        return AttemptOutcome{ PassOn{ OutcomeUnknown{} } };
      },
      [&](const auto&) { return AttemptOutcome{ PassOn{ aResponse } }; } },
    aResponse);
}

} // namespace verbenawell::jobs
