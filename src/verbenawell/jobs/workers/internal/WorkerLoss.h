#pragma once

#include "verbenawell/core/Context.h"
#include "verbenawell/jobs/core/Effect.h"
#include "verbenawell/jobs/core/Views.h"

namespace verbenawell::jobs {

struct WorkersState;

/// Handles the end of a worker's incarnation. The worker is removed at once or
/// when its last response has been handled.
void
ApplyWorkerEnd(WorkersState& aState,
               const Views& aViews,
               const WorkerEnded& aEnded,
               const Context& aContext,
               Effects& aEffects);

/// Removes a worker that is known to have ended unless its last response may
/// still arrive. Returns whether it was removed.
bool
RemoveIfEnded(WorkersState& aState,
              const WorkerId& aWorker,
              const Context& aContext,
              Effects& aEffects);

/// Does the same for all workers.
void
CheckEndedWorkers(WorkersState& aState,
                  const Context& aContext,
                  Effects& aEffects);

/// Marks the runs lost whose leases have expired, and those that were never
/// sent to a worker that has become unfit for them.
void
CheckLeases(WorkersState& aState, const Context& aContext, Effects& aEffects);

} // namespace verbenawell::jobs
