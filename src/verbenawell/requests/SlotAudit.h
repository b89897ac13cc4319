#pragma once

#include "verbenawell/core/Effect.h"
#include "verbenawell/requests/OwnerState.h"
#include "verbenawell/requests/TakeoverState.h"

/// A release that is lost with its connection would keep a slot for good, so
/// the owner asks from time to time what runs.
namespace verbenawell {

/// Asks each entry daemon with slots granted here for a report.
void
Audit(const PoolId& aPool,
      OwnedPool& aOwned,
      const PoolQueue& aQueue,
      TimePoint aNow,
      Effects& aEffects);

/// Compares a report with the slots granted: frees those that the entry daemon
/// does not know, and adopts attempts of earlier owners.
void
Reconcile(const DaemonId& aFrom,
          const OwnerReport& aReport,
          OwnedPool& aOwned,
          const PoolQueue& aQueue,
          Effects& aEffects);

} // namespace verbenawell
