#pragma once

#include "verbenawell/core/Context.h"
#include "verbenawell/jobs/core/Effect.h"
#include "verbenawell/jobs/core/Views.h"

namespace verbenawell::jobs {

struct WorkersState;

/// Renews the leases of workers, sends them commands and processes the runs and
/// ends that they report.
void
ReduceWorkers(WorkersState& aState,
              const Views& aViews,
              const Event& aEvent,
              const Context& aContext,
              Effects& aEffects);

} // namespace verbenawell::jobs
