#pragma once

#include "verbenawell/core/Context.h"
#include "verbenawell/jobs/core/Effect.h"

namespace verbenawell::jobs {

struct TasksState;

/// Notes what runs report, and stops runs that should not be.
void
ApplyReportedRuns(TasksState& aState,
                  const RunsSeen& aReported,
                  Effects& aEffects);

/// Applies new ends of one worker and has them stored.
void
ApplyEnds(TasksState& aState,
          const RunsEnded& aEnded,
          const Context& aContext,
          Effects& aEffects);

/// Notes that a run is to be stopped.
void
ApplyStopDecision(TasksState& aState, const StopDecided& aStop);

/// Notes the start of a task that its worker accepted.
void
ApplyAcceptedStart(TasksState& aState, const StartAnswered& aCompletion);

/// Lets a task whose run is gone run again.
void
ApplyLostRun(TasksState& aState, const RunLost& aLost, Effects& aEffects);

} // namespace verbenawell::jobs
