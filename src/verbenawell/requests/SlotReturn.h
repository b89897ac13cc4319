#pragma once

#include "verbenawell/requests/OwnerScope.h"
#include "verbenawell/requests/OwnerState.h"

namespace verbenawell {

/// Frees the slot of an attempt that has ended.
void
ReleaseSlot(OwnerScope& aScope, const SlotRelease& aRelease);

/// Counts a slot that an earlier owner granted and that is still in use.
void
AdoptSlot(OwnerScope& aScope,
          const PoolId& aPool,
          const DaemonId& aEntry,
          const ServiceId& aService,
          const RunningAttempt& aRunning);

/// Frees the slots and drops the tickets of an entry daemon that is lost.
void
ForgetEntry(OwnerScope& aScope, const DaemonId& aEntry);

/// Frees slots whose releases were lost.
void
ExpireSlots(OwnerScope& aScope, const PoolId& aPool, PoolQueue& aQueue);

} // namespace verbenawell
