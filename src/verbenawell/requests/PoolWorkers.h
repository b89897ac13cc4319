#pragma once

#include "verbenawell/fleet/FleetEvents.h"
#include "verbenawell/requests/OwnerScope.h"
#include "verbenawell/requests/OwnerState.h"

namespace verbenawell {

/// The queue of a pool; a new one starts with the pool's workers.
PoolQueue&
FindOrAddPool(OwnerScope& aScope, const PoolId& aPool);

/// Applies what the fleet says of a VM to the pools here.
void
SyncWorker(OwnerScope& aScope, const VmId& aVm);

/// Notes the VMs that the platform's list shows as leaving or not live.
void
ApplyVmList(OwnerScope& aScope, const VmListRead& aList);

/// Raises `PoolDrained` if the VM takes no new work from the pool and no
/// attempt can be running on it.
void
ReportIfDrained(OwnerScope& aScope, const PoolId& aPool, const VmId& aVm);

/// Counts an attempt's outcome for or against its worker.
void
RecordHealth(OwnerScope& aScope,
             const PoolId& aPool,
             PoolQueue& aQueue,
             const VmId& aVm,
             const AttemptOutcome& aOutcome);

/// Lets ejected workers have an attempt when their probes are due.
void
ProbeWorkers(OwnerScope& aScope, PoolQueue& aQueue);

} // namespace verbenawell
