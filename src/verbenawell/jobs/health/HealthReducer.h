#pragma once

#include "verbenawell/core/Context.h"
#include "verbenawell/jobs/core/Effect.h"
#include "verbenawell/jobs/core/Views.h"

namespace verbenawell::jobs {

struct HealthState;

/// Finds workers that fail, stand still or are slow from what becomes of their
/// runs, and takes tasks off them.
void
ReduceHealth(HealthState& aState,
             const Views& aViews,
             const Event& aEvent,
             const Context& aContext,
             Effects& aEffects);

} // namespace verbenawell::jobs
