#pragma once

#include "verbenawell/core/Effect.h"
#include "verbenawell/requests/OwnerState.h"
#include "verbenawell/requests/TakeoverState.h"

/// A release that is lost with its connection would leave its slot in use until
/// the slot expires. To free it earlier, the owner regularly asks the entry
/// daemons which attempts run.
namespace verbenawell {

/// Requests a report from each entry daemon that has slots of the pool.
void
Audit(const PoolId& aPool,
      OwnedPool& aOwned,
      const PoolQueue& aQueue,
      TimePoint aNow,
      Effects& aEffects);

/// Compares a report with the granted slots: frees slots whose attempts the
/// report does not name, and adopts attempts that have no slot.
void
Reconcile(const DaemonId& aFrom,
          const OwnerReport& aReport,
          OwnedPool& aOwned,
          const PoolQueue& aQueue,
          Effects& aEffects);

} // namespace verbenawell
