#pragma once

#include "verbenawell/requests/OwnerScope.h"
#include "verbenawell/requests/OwnerState.h"

namespace verbenawell {

struct VmState;

/// Gives a slot of the worker to a ticket that has left the queue.
void
Grant(OwnerScope& aScope,
      const PoolId& aPool,
      PoolQueue& aQueue,
      const QueuedTicket& aTicket,
      const VmState& aWorker);

/// Tells the entry daemon to run its request in the reserved slot.
void
SendGrant(OwnerScope& aScope,
          const PoolId& aPool,
          const PoolQueue& aQueue,
          AttemptId aAttempt,
          const VmState& aWorker);

} // namespace verbenawell
