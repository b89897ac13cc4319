#pragma once

#include "verbenawell/fleet/FleetEvents.h"
#include "verbenawell/requests/OwnerScope.h"
#include "verbenawell/requests/OwnerState.h"

namespace verbenawell {

/// Returns the queue of a pool. Creates it with the pool's workers if there is
/// none.
PoolQueue&
FindOrAddPool(OwnerScope& aScope, const PoolId& aPool);

/// Updates the pool queues of this daemon with the fleet state of a VM.
void
SyncWorker(OwnerScope& aScope, const VmId& aVm);

/// Applies the platform's VM list: VMs that are leaving or not live get no new
/// work.
void
ApplyVmList(OwnerScope& aScope, const VmListRead& aList);

/// Raises `PoolDrained` if the VM takes no new work from the pool and no
/// attempt can be running on it.
void
ReportIfDrained(OwnerScope& aScope, const PoolId& aPool, const VmId& aVm);

/// Updates the health of a worker with the outcome of an attempt.
void
RecordHealth(OwnerScope& aScope,
             const PoolId& aPool,
             PoolQueue& aQueue,
             const VmId& aVm,
             const AttemptOutcome& aOutcome);

/// Admits one attempt to each ejected worker whose probe is due.
void
ProbeWorkers(OwnerScope& aScope, PoolQueue& aQueue);

} // namespace verbenawell
