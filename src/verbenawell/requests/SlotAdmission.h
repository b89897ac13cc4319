#pragma once

#include "verbenawell/requests/OwnerScope.h"
#include "verbenawell/requests/OwnerState.h"

namespace verbenawell {

/// Queues a slot request, or refuses it with a reason.
void
AdmitSlotRequest(OwnerScope& aScope,
                 const DaemonId& aEntry,
                 const SlotRequest& aRequest);

/// Removes a cancelled request from its queue.
void
WithdrawSlotRequest(OwnerScope& aScope,
                    const QueuedRequestId& aId,
                    const PoolId& aPool);

/// Refuses the queued requests whose deadlines have passed.
void
ExpireSlotRequests(OwnerScope& aScope, PoolQueue& aQueue);

/// Weights and limit of a share, from the service's budget and the team's
/// quota.
ShareLimits
LimitsOf(const OwnerScope& aScope, const ShareKey& aKey);

} // namespace verbenawell
