#pragma once

#include "verbenawell/core/Context.h"
#include "verbenawell/jobs/core/Effect.h"
#include "verbenawell/jobs/core/Views.h"

namespace verbenawell::jobs {

struct PacingState;

/// Throttles filling tasks on workers whose serving tasks come close to their
/// latency targets.
void
ReducePacing(PacingState& aState,
             const Views& aViews,
             const Event& aEvent,
             const Context& aContext,
             Effects& aEffects);

} // namespace verbenawell::jobs
