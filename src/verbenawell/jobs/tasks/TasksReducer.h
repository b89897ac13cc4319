#pragma once

#include "verbenawell/core/Context.h"
#include "verbenawell/jobs/core/Effect.h"
#include "verbenawell/jobs/core/Views.h"

namespace verbenawell::jobs {

struct TasksState;

/// Accepts and cancels jobs, and tracks their tasks until each job has an
/// outcome.
void
ReduceTasks(TasksState& aState,
            const Views& aViews,
            const Event& aEvent,
            const Context& aContext,
            Effects& aEffects);

} // namespace verbenawell::jobs
