#pragma once

#include "verbenawell/core/Context.h"
#include "verbenawell/jobs/core/Effect.h"

namespace verbenawell::jobs {

struct Worker;
struct WorkersState;

/// Takes over the platform's list of workers.
void
ApplyWorkerList(WorkersState& aState,
                const WorkersRead& aRead,
                const Context& aContext,
                Effects& aEffects);

/// Logs what has become known of a worker.
void
LogWorker(const char* aEvent, const Worker& aWorker, Effects& aEffects);

/// A worker has a new life, which knows nothing of the old one.
void
StartNewIncarnation(Worker& aWorker,
                    BirthTime aIncarnation,
                    const Context& aContext,
                    Effects& aEffects);

/// Removes a run without an end and tells the other modules.
void
MarkRunLost(Worker& aWorker,
            const TaskId& aTask,
            const char* aReason,
            Effects& aEffects);

void
MarkAllRunsLost(Worker& aWorker, const char* aReason, Effects& aEffects);

} // namespace verbenawell::jobs
