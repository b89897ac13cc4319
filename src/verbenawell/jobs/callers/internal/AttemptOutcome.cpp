#include "verbenawell/jobs/callers/internal/AttemptOutcome.h"

#include "verbenawell/core/Overloaded.h"
#include "verbenawell/jobs/ownership/OwnershipState.h"

#include <algorithm>

namespace verbenawell::jobs {

namespace {

using namespace std::chrono_literals;

// A failed owner is replaced after about this time, since its time-out of 2.5 s
// starts with its last renewal.
constexpr Duration kRetryAfterNoOwner = 2s;

// A daemon that rejects a request for these reasons has not looked for the job,
// which the present owner may know.
bool
IsBeforeJobLookup(RejectReason aReason)
{
  return aReason == RejectReason::NoConfiguration ||
         aReason == RejectReason::NoOwner;
}

bool
ChangesJobs(const OpenRequest& aOpen)
{
  return IsSubmission(aOpen) ||
         std::holds_alternative<CancelJob>(aOpen.request_.action_);
}

} // namespace

// If all daemons are stopping, the next owner is the first one that has
// started again. A daemon whose requests wait for an owner would exit late.
bool
IsOwnerMissing(const OwnershipState& aOwnership, TimePoint aNow)
{
  return (!aOwnership.owner_ || aOwnership.owner_->resigned_) &&
         aNow - std::max(aOwnership.renewedAt_, aOwnership.readingSince_) >=
           kNoOwnerTimeout;
}

bool
IsSubmission(const OpenRequest& aOpen)
{
  return std::holds_alternative<SubmitJob>(aOpen.request_.action_);
}

bool
IsUnsentSubmission(const OpenRequest& aOpen)
{
  return IsSubmission(aOpen) && aOpen.attemptsWithoutResponse_ == 0 &&
         !aOpen.forwarded_;
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
      [](const KeyRejected&) {
        return AttemptOutcome{ PassOn{ OutcomeUnknown{} } };
      },
      [&](const auto&) { return AttemptOutcome{ PassOn{ aResponse } }; } },
    aResponse);
}

CallerResponse
ResponseWithoutOwner(const OpenRequest& aOpen)
{
  const bool mayHaveTakenEffect = aOpen.attemptsWithoutResponse_ > 0;
  if (aOpen.forwarded_) {
    return NotOwner{ mayHaveTakenEffect };
  }
  if (mayHaveTakenEffect && ChangesJobs(aOpen)) {
    return OutcomeUnknown{};
  }
  return JobRejected{ RejectReason::NoOwner, kRetryAfterNoOwner };
}

} // namespace verbenawell::jobs
