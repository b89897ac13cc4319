#pragma once

#include "verbenawell/requests/OwnerScope.h"
#include "verbenawell/requests/OwnerState.h"

namespace verbenawell {

/// Removes the first request of a share from the queue and grants it a slot of
/// the worker.
void
Grant(OwnerScope& aScope,
      const PoolId& aPool,
      PoolQueue& aQueue,
      const ShareKey& aShare,
      const VmId& aWorker);

/// Tells the entry daemon to run its request in the granted slot.
void
SendGrant(OwnerScope& aScope,
          const PoolId& aPool,
          const PoolQueue& aQueue,
          const SlotKey& aSlot);

} // namespace verbenawell
