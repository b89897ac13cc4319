#pragma once

#include "verbenawell/core/Context.h"
#include "verbenawell/jobs/core/Effect.h"
#include "verbenawell/jobs/core/Views.h"
#include "verbenawell/jobs/journal/JournalRecord.h"
#include "verbenawell/jobs/workers/WorkersState.h"

#include <vector>

namespace verbenawell::jobs {

/// Adds a run to a worker, with the resources and the quota that it takes.
void
AddRun(WorkersState& aState,
       Worker& aWorker,
       const TaskId& aTask,
       Assignment aRun);

/// Restores the workers that may hold leases, and the runs that may be on them.
void
RestoreWorkers(WorkersState& aState,
               const Views& aViews,
               const std::vector<JournalRecord>& aRecords,
               const Context& aContext,
               Effects& aEffects);

} // namespace verbenawell::jobs
