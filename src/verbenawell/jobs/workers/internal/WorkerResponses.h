#pragma once

#include "verbenawell/core/Context.h"
#include "verbenawell/jobs/core/Effect.h"

namespace verbenawell::jobs {

struct WorkersState;

/// Compares a worker's report with the commands that were sent to it. Returns
/// false if the report is outdated and was ignored.
bool
ApplyReport(WorkersState& aState,
            const WorkerReported& aReport,
            const Context& aContext,
            Effects& aEffects);

void
ApplyStartCompletion(WorkersState& aState,
                     const StartCommandCompleted& aCompletion,
                     const Context& aContext,
                     Effects& aEffects);

void
ApplyStopCompletion(WorkersState& aState,
                    const StopCommandCompleted& aCompletion,
                    const Context& aContext,
                    Effects& aEffects);

} // namespace verbenawell::jobs
