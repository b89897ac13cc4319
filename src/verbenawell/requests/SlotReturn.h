#pragma once

#include "verbenawell/requests/OwnerScope.h"
#include "verbenawell/requests/OwnerState.h"

namespace verbenawell {

/// Frees the slot of an attempt that has ended.
void
ReleaseSlot(OwnerScope& aScope, const SlotRelease& aRelease);

/// Adds the slot of a running attempt that has none here, such as one that an
/// earlier owner granted.
void
AdoptSlot(OwnerScope& aScope,
          const PoolId& aPool,
          const DaemonId& aEntry,
          const ServiceId& aService,
          const RunningAttempt& aRunning);

/// Frees the slots and drops the queued requests of a lost entry daemon.
void
DropEntry(OwnerScope& aScope, const DaemonId& aEntry);

/// Frees the slots whose expiry time has passed because their releases were
/// lost.
void
ExpireSlots(OwnerScope& aScope, const PoolId& aPool, PoolQueue& aQueue);

} // namespace verbenawell
