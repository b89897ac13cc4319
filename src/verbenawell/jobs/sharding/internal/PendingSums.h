#pragma once

#include "verbenawell/jobs/core/Effect.h"

namespace verbenawell::jobs {

struct DaemonState;

/// Adds the response of one shard to the sum of all. Returns whether it is not
/// to be sent: the response of the last shard carries the sum.
bool
IsPartOfSum(DaemonState& aState, SendResponse& aResponse);

} // namespace verbenawell::jobs
