#pragma once

#include "verbenawell/core/Ids.h"
#include "verbenawell/requests/OwnerScope.h"

namespace verbenawell {

struct PoolQueue;

/// Grants slots in the order of the queue until no slot is free or no queued
/// request fits.
void
GrantFreeSlots(OwnerScope& aScope, const PoolId& aPool, PoolQueue& aQueue);

/// Grants slots after resources have become free on a worker: first to blocked
/// requests, which did not fit before, then in the order of the queue.
void
GrantSlotsOfWorker(OwnerScope& aScope,
                   const PoolId& aPool,
                   PoolQueue& aQueue,
                   const VmId& aVm);

/// Reserves a worker for a request that has been blocked for too long.
/// Otherwise smaller requests could overtake it indefinitely.
void
ReserveWorkerForBlocked(OwnerScope& aScope, PoolQueue& aQueue);

} // namespace verbenawell
