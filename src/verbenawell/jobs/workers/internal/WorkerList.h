#pragma once

#include "verbenawell/core/Context.h"
#include "verbenawell/jobs/core/Effect.h"

namespace verbenawell::jobs {

struct Worker;
struct WorkersState;
class QuotaUsage;

/// Applies the platform's list of workers.
void
ApplyWorkerList(WorkersState& aState,
                const WorkersRead& aRead,
                const Context& aContext,
                Effects& aEffects);

/// Logs an event of a worker with its incarnation and number of runs.
void
LogWorker(const char* aEvent, const Worker& aWorker, Effects& aEffects);

/// Records which incarnation of a worker is the current one.
void
SetIncarnation(Worker& aWorker, WorkerIncarnation aIncarnation, TimePoint aNow);

/// Records the incarnation of a worker that was known from the journal only. If
/// its runs were assigned to an earlier incarnation, that one has crashed.
void
LearnIncarnation(Worker& aWorker,
                 WorkerIncarnation aIncarnation,
                 const Context& aContext,
                 Effects& aEffects);

/// Handles a new incarnation of a worker, which knows nothing of the runs and
/// ends of the old one.
void
StartNewIncarnation(Worker& aWorker,
                    WorkerIncarnation aIncarnation,
                    const Context& aContext,
                    Effects& aEffects);

/// Removes a run that has no reported end and raises `RunLost`.
void
MarkRunLost(Worker& aWorker,
            const TaskId& aTask,
            LossReason aReason,
            QuotaUsage& aUsage,
            Effects& aEffects);

void
MarkAllRunsLost(Worker& aWorker,
                LossReason aReason,
                QuotaUsage& aUsage,
                Effects& aEffects);

} // namespace verbenawell::jobs
