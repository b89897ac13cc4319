#pragma once

#include "verbenawell/requests/OwnerScope.h"
#include "verbenawell/requests/OwnerState.h"

namespace verbenawell {

/// Queues a slot request, or refuses it with a typed reason.
void
AdmitTicket(OwnerScope& aScope,
            const DaemonId& aEntry,
            const SlotRequest& aRequest);

/// Takes a cancelled ticket out of its queue.
void
WithdrawTicket(OwnerScope& aScope,
               const TicketId& aTicket,
               const PoolId& aPool);

/// Refuses the tickets whose deadlines have passed.
void
ExpireTickets(OwnerScope& aScope, PoolQueue& aQueue);

/// Weights and limit of a team by its quota.
ShareTerms
TermsOf(const OwnerScope& aScope, const ShareKey& aKey);

} // namespace verbenawell
