#pragma once

#include "verbenawell/requests/Messages.h"
#include "verbenawell/requests/OwnerScope.h"

namespace verbenawell {

struct TicketId;

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

} // namespace verbenawell
