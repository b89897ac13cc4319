#pragma once

#include "verbenawell/core/Ids.h"
#include "verbenawell/requests/OwnerScope.h"

namespace verbenawell {

struct PoolQueue;

/// Grants slots in the order of the queue until none is free.
void
GrantFreeSlots(OwnerScope& aScope, const PoolId& aPool, PoolQueue& aQueue);

/// Offers room that became free on a worker to the requests that did not fit
/// before, and then to the queue.
void
GrantSlotsOfWorker(OwnerScope& aScope,
                   const PoolId& aPool,
                   PoolQueue& aQueue,
                   const VmId& aVm);

/// Keeps a worker free for the request that has fitted nowhere for too long,
/// so that smaller requests cannot pass it for ever.
void
ReserveWorkerForBlocked(OwnerScope& aScope, PoolQueue& aQueue);

} // namespace verbenawell
