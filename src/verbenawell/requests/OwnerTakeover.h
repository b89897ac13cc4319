#pragma once

#include "verbenawell/requests/OwnerScope.h"
#include "verbenawell/requests/OwnerState.h"

namespace verbenawell {

/// Replaces the pool's queue by an empty one with the new epoch.
void
StartPoolQueue(OwnerScope& aScope, const PoolAcquired& aAcquired);

/// Adds slots for attempts that run and have none here.
void
AdoptAttempts(OwnerScope& aScope, const AttemptsAdopted& aAdopted);

/// Frees the slots of attempts that have ended without a release.
void
FreeLostAttempts(OwnerScope& aScope, const AttemptsLost& aLost);

} // namespace verbenawell
