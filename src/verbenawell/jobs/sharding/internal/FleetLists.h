#pragma once

#include "verbenawell/jobs/maintenance/MaintenanceEvents.h"
#include "verbenawell/jobs/model/Ids.h"
#include "verbenawell/jobs/workers/WorkerEvents.h"

namespace verbenawell::jobs {

struct DaemonState;

/// The listed workers that belong to a shard.
struct WorkerSelection
{
  WorkersRead workers_;
  /// A worker is listed for the first time whose VM is not known.
  bool needsVmList_ = false;
};

void
RecordWorkersOfVms(DaemonState& aState, const VmsRead& aRead);

/// Returns whether the list of VMs has shown a worker that was left out of the
/// newest list of workers.
bool
HasFoundVms(const DaemonState& aState);

/// Selects the workers on the VMs of a shard. A worker whose VM is not known is
/// left out unless the shard's journal names it.
WorkerSelection
SelectWorkers(DaemonState& aState, ShardIndex aShard, const WorkersRead& aRead);

/// Selects the VMs of a shard.
VmsRead
VmsOf(ShardIndex aShard, ShardCount aCount, const VmsRead& aRead);

} // namespace verbenawell::jobs
