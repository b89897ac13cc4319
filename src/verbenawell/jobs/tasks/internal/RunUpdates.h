#pragma once

#include "verbenawell/core/Context.h"
#include "verbenawell/jobs/core/Effect.h"

namespace verbenawell::jobs {

struct TasksState;

/// Updates the tasks of the reported runs, and stops runs that no task expects.
void
ApplyReportedRuns(TasksState& aState,
                  const RunsReported& aReported,
                  const Context& aContext,
                  Effects& aEffects);

/// Applies newly reported ends of one worker and requests that they are written
/// to the journal.
void
ApplyEnds(TasksState& aState,
          const RunsEnded& aEnded,
          const Context& aContext,
          Effects& aEffects);

/// Marks the task of a run as stopping.
void
ApplyStopDecision(TasksState& aState, const StopDecided& aStop);

/// Marks the job as started if the worker accepted the start command.
void
ApplyAcceptedStart(TasksState& aState,
                   const StartCommandCompleted& aCompletion);

/// Sets a task whose run is lost back to waiting.
void
ApplyLostRun(TasksState& aState, const RunLost& aLost, Effects& aEffects);

} // namespace verbenawell::jobs
