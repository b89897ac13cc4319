#pragma once

#include "verbenawell/core/Context.h"
#include "verbenawell/jobs/core/Effect.h"
#include "verbenawell/jobs/core/Views.h"

namespace verbenawell::jobs {

struct AdviceState;

/// Asks the advice service which workers may run steps, and caches its tickets.
void
ReduceAdvice(AdviceState& aState,
             const Views& aViews,
             const Event& aEvent,
             const Context& aContext,
             Effects& aEffects);

} // namespace verbenawell::jobs
