#include "verbenawell/jobs/callers/internal/RequestExpiry.h"

#include "verbenawell/jobs/callers/internal/AttemptOutcome.h"

#include <chrono>

namespace verbenawell::jobs {

namespace {

using namespace std::chrono_literals;

// A stopping daemon responds to all requests that are still open by then, so
// that none of them is when it exits.
constexpr Duration kLastResponsesAfter = 4500ms;

bool
EndsWithStop(const OpenRequest& aOpen,
             const CallersState& aState,
             const OwnershipState& aOwnership,
             TimePoint aNow)
{
  return aState.isStopping_ && (aNow - aState.stopAt_ >= kLastResponsesAfter ||
                                (aOpen.stage_ == RequestStage::Waiting &&
                                 IsOwnerMissing(aOwnership, aNow)));
}

} // namespace

std::optional<CallerResponse>
ExpiryResponse(const OpenRequest& aOpen,
               const CallersState& aState,
               const OwnershipState& aOwnership,
               TimePoint aNow)
{
  const bool isOverdue = aNow >= aOpen.deadline_;
  if (IsUnsentSubmission(aOpen)) {
    if (isOverdue || aNow - aOpen.arrivedAt_ >= kNoOwnerTimeout) {
      return ResponseWithoutOwner(aOpen);
    }
  } else if (isOverdue) {
    return OutcomeUnknown{};
  }
  if (EndsWithStop(aOpen, aState, aOwnership, aNow)) {
    return ResponseWithoutOwner(aOpen);
  }
  return std::nullopt;
}

} // namespace verbenawell::jobs
