#pragma once

#include "verbenawell/core/Context.h"
#include "verbenawell/jobs/core/Effect.h"
#include "verbenawell/jobs/core/Views.h"

namespace verbenawell::jobs {

struct EstimatesState;

/// Learns run times from the ends of runs. Has to handle each event before the
/// tasks do: it reads where a run was placed before its end is applied.
void
ReduceEstimates(EstimatesState& aState,
                const Views& aViews,
                const Event& aEvent,
                const Context& aContext,
                Effects& aEffects);

} // namespace verbenawell::jobs
