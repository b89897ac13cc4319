#pragma once

#include "verbenawell/jobs/callers/CallerRequest.h"
#include "verbenawell/jobs/callers/CallersState.h"
#include "verbenawell/jobs/ownership/OwnershipState.h"

#include <optional>

namespace verbenawell::jobs {

/// Returns the response to a request that gets none from an owner: its deadline
/// has passed, the daemon stops, or no owner has received a submission in time.
/// Empty while the request can still wait.
std::optional<CallerResponse>
ExpiryResponse(const OpenRequest& aOpen,
               const CallersState& aState,
               const OwnershipState& aOwnership,
               TimePoint aNow);

} // namespace verbenawell::jobs
