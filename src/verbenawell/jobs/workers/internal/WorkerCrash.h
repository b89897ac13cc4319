#pragma once

#include "verbenawell/core/Context.h"
#include "verbenawell/jobs/core/Effect.h"
#include "verbenawell/jobs/core/Views.h"

#include <optional>

namespace verbenawell::jobs {

struct Worker;

/// Returns whether a worker has ended without a command and without a drain.
/// False in doubt, for example if its runs are only known from the journal.
bool
HasEndedByItself(const Worker& aWorker,
                 const WorkerEnded& aEnded,
                 const Views& aViews);

/// Marks the runs that may have been on a worker when it crashed, and raises
/// `WorkerCrashed`. Runs that were assigned after the start of the next
/// incarnation, if that is known, were not there.
void
ReportCrash(Worker& aWorker,
            std::optional<WorkerIncarnation> aNext,
            const Context& aContext,
            Effects& aEffects);

} // namespace verbenawell::jobs
