#include "verbenawell/requests/Grant.h"

#include "verbenawell/fleet/FleetState.h"

namespace verbenawell {

namespace {

AttemptId
ReserveSlot(OwnerScope& aScope,
            PoolQueue& aQueue,
            const QueuedTicket& aTicket,
            const VmId& aVm)
{
  OwnerState& owner = aScope.owner_;
  ++owner.lastAttempt_;
  ++aQueue.running_[aVm];
  aQueue.granted_[owner.lastAttempt_] = { aTicket.id_,
                                          aVm,
                                          aScope.context_.now_ };
  return owner.lastAttempt_;
}

} // namespace

void
Grant(OwnerScope& aScope,
      const PoolId& aPool,
      PoolQueue& aQueue,
      const QueuedTicket& aTicket,
      const VmState& aWorker)
{
  aScope.effects_.emplace_back(Observe{
    LatencyMetric::QueueWait, aScope.context_.now_ - aTicket.queuedAt_ });
  const AttemptId attempt =
    ReserveSlot(aScope, aQueue, aTicket, aWorker.facts_.vm_);
  // Precondition of sending: the intent of a request that is not idempotent
  // is committed. The slot stays reserved while the intent is appended.
  SendGrant(aScope, aPool, aQueue, attempt, aWorker);
}

void
SendGrant(OwnerScope& aScope,
          const PoolId& aPool,
          const PoolQueue& aQueue,
          AttemptId aAttempt,
          const VmState& aWorker)
{
  const GrantedSlot& slot = aQueue.granted_.at(aAttempt);
  aScope.effects_.emplace_back(
    SendPeer{ slot.ticket_.entry_,
              SlotGrant{ slot.ticket_.key_,
                         aAttempt,
                         aPool,
                         aQueue.term_,
                         slot.vm_,
                         aWorker.facts_.address_ } });
}

} // namespace verbenawell
