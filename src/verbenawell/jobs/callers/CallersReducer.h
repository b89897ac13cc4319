#pragma once

#include "verbenawell/core/Context.h"
#include "verbenawell/jobs/core/Effect.h"
#include "verbenawell/jobs/core/Views.h"

namespace verbenawell::jobs {

struct CallersState;

/// Routes callers' requests to the owner and returns its responses.
void
ReduceCallers(CallersState& aState,
              const Views& aViews,
              const Event& aEvent,
              const Context& aContext,
              Effects& aEffects);

} // namespace verbenawell::jobs
