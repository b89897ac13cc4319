#pragma once

#include "verbenawell/jobs/callers/CallersState.h"

#include <variant>

namespace verbenawell::jobs {

struct OwnershipState;

/// A submission that has reached no owner by then is rejected, so that its
/// caller can repeat it before the deadline.
constexpr Duration kNoOwnerTimeout = std::chrono::milliseconds(500);

/// Returns whether there has been no owner for `kNoOwnerTimeout`.
bool
IsOwnerMissing(const OwnershipState& aOwnership, TimePoint aNow);

/// The response to an attempt is the response to the request.
struct PassOn
{
  CallerResponse response_;
};

/// The request is sent again, to the owner known by then.
struct SendAgain
{};

using AttemptOutcome = std::variant<PassOn, SendAgain>;

[[nodiscard]] bool
IsSubmission(const OpenRequest& aOpen);

/// Returns whether the request is a submission that has reached no owner, so
/// that its caller may repeat it.
[[nodiscard]] bool
IsUnsentSubmission(const OpenRequest& aOpen);

/// Decides what follows from the response to the latest attempt of a request. A
/// submission is rejected only if no earlier attempt may have taken effect.
[[nodiscard]] AttemptOutcome
OutcomeOf(const OpenRequest& aOpen,
          const CallerResponse& aResponse,
          bool aHasEarlierAttempt);

/// Returns the response to a request that no owner decides on in time.
[[nodiscard]] CallerResponse
ResponseWithoutOwner(const OpenRequest& aOpen);

} // namespace verbenawell::jobs
