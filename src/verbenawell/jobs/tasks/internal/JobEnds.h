#pragma once

#include "verbenawell/core/Context.h"
#include "verbenawell/jobs/core/Effect.h"
#include "verbenawell/jobs/model/Job.h"

namespace verbenawell::jobs {

struct TasksState;

/// Decides the outcome of an open job and has it stored.
void
DecideOutcome(Job& aJob,
              JobOutcome aOutcome,
              const Context& aContext,
              Effects& aEffects);

/// Shows a stored outcome and stops what still runs.
void
ApplyStoredOutcome(TasksState& aState,
                   const JobId& aJob,
                   const Context& aContext,
                   Effects& aEffects);

} // namespace verbenawell::jobs
