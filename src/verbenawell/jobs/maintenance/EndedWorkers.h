#pragma once

#include "verbenawell/jobs/maintenance/MaintenanceEvents.h"
#include "verbenawell/jobs/workers/WorkersState.h"

namespace verbenawell::jobs {

/// Returns whether two lists of VMs that follow each other show that the worker
/// of a VM has ended.
bool
HasEndedWorker(const ListedVm& aBefore,
               const ListedVm& aNow,
               const WorkersState& aWorkers);

/// Tells whether these lists show that a command has ended the worker.
WorkerEndCause
EndCause(const ListedVm& aBefore, const ListedVm& aNow);

} // namespace verbenawell::jobs
