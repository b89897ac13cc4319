#include "verbenawell/requests/OwnerTakeover.h"

#include "verbenawell/requests/PoolWorkers.h"
#include "verbenawell/requests/SlotReturn.h"

#include <algorithm>

namespace verbenawell {

void
StartPoolQueue(OwnerScope& aScope, const PoolAcquired& aAcquired)
{
  OwnerState& owner = aScope.owner_;
  owner.lastAttempt_ = std::max(owner.lastAttempt_, aAcquired.lastAttempt_);
  owner.pools_.erase(aAcquired.pool_);
  FindOrAddPool(aScope, aAcquired.pool_).epoch_ = aAcquired.epoch_;
}

void
AdoptAttempts(OwnerScope& aScope, const AttemptsAdopted& aAdopted)
{
  for (const auto& [entry, attempt] : aAdopted.attempts_) {
    AdoptSlot(aScope, aAdopted.pool_, entry, attempt.service_, attempt);
  }
}

void
FreeLostAttempts(OwnerScope& aScope, const AttemptsLost& aLost)
{
  for (const SlotRelease& release : aLost.releases_) {
    ReleaseSlot(aScope, release);
  }
}

} // namespace verbenawell
