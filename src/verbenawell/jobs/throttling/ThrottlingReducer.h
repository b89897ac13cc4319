#pragma once

#include "verbenawell/core/Context.h"
#include "verbenawell/jobs/core/Effect.h"
#include "verbenawell/jobs/core/Views.h"

namespace verbenawell::jobs {

struct ThrottlingState;

/// Throttles best-effort tasks on workers whose serving tasks come close to
/// their latency targets.
void
ReduceThrottling(ThrottlingState& aState,
                 const Views& aViews,
                 const Event& aEvent,
                 const Context& aContext,
                 Effects& aEffects);

} // namespace verbenawell::jobs
