#pragma once

#include "verbenawell/core/Context.h"
#include "verbenawell/jobs/core/Effect.h"
#include "verbenawell/jobs/core/Views.h"
#include "verbenawell/jobs/model/Job.h"

#include <chrono>

namespace verbenawell::jobs {

struct TasksState;

/// Least time for which a suspect has to run to prove harmless.
constexpr Duration kMinProbation = std::chrono::seconds(2);

/// Makes the tasks suspects that a crashed worker may have run, and gives up
/// the jobs whose tasks have crashed too many workers. If a suspect was there
/// already, it explains the crash, and no other task is suspected but short
/// ones that shared its worker.
void
ApplyWorkerCrash(TasksState& aState,
                 const Views& aViews,
                 const WorkerCrashed& aCrashed,
                 const Context& aContext,
                 Effects& aEffects);

/// The task has ended or failed without a crash of its worker.
void
ClearSuspect(TasksState& aState, const TaskId& aId, Task& aTask);

/// Clears a placed task if it has run for its probation.
void
ClearAfterProbation(TasksState& aState,
                    const TaskId& aId,
                    Task& aTask,
                    TimePoint aNow);

/// Removes the suspects of a job that has ended.
void
ForgetSuspects(TasksState& aState, const JobId& aJob);

/// Removes the suspects of the occurrences of a job before this one.
void
ForgetSuspects(TasksState& aState, const JobId& aJob, Occurrence aEnd);

/// Finds the suspects among the tasks of restored jobs.
void
RestoreSuspects(TasksState& aState);

} // namespace verbenawell::jobs
