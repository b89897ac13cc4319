#pragma once

#include "verbenawell/requests/OwnerScope.h"
#include "verbenawell/requests/OwnerState.h"

namespace verbenawell {

/// Starts an empty queue under a new term.
void
StartPoolQueue(OwnerScope& aScope, const PoolTaken& aTaken);

/// Counts the slots of attempts that an earlier owner granted.
void
AdoptAttempts(OwnerScope& aScope, const AttemptsAdopted& aAdopted);

/// Frees slots whose attempts are over although no release came.
void
FreeLostAttempts(OwnerScope& aScope, const AttemptsLost& aLost);

} // namespace verbenawell
