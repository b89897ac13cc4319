#pragma once

#include "verbenawell/core/Context.h"
#include "verbenawell/jobs/core/Effect.h"
#include "verbenawell/jobs/core/Views.h"

namespace verbenawell::jobs {

struct HealthState;

/// Ejects workers whose runs fail, make no progress or are slow, and stops
/// tasks on them that would finish earlier on other workers.
void
ReduceHealth(HealthState& aState,
             const Views& aViews,
             const Event& aEvent,
             const Context& aContext,
             Effects& aEffects);

} // namespace verbenawell::jobs
