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

} // namespace verbenawell::jobs
