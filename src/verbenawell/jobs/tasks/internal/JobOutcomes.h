#pragma once

#include "verbenawell/core/Context.h"
#include "verbenawell/jobs/core/Effect.h"
#include "verbenawell/jobs/model/Job.h"

namespace verbenawell::jobs {

struct TasksState;

/// Sets the outcome of an open job and requests that it is written to the
/// journal.
void
DecideOutcome(TasksState& aState,
              Job& aJob,
              JobOutcome aOutcome,
              const Context& aContext,
              Effects& aEffects);

/// Makes an outcome that is in the journal visible to callers, and stops the
/// runs that are left.
void
ApplyStoredOutcome(TasksState& aState,
                   const JobId& aJob,
                   const Context& aContext,
                   Effects& aEffects);

} // namespace verbenawell::jobs
