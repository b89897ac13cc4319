#include "verbenawell/requests/Grant.h"

#include "verbenawell/fleet/FleetState.h"
#include "verbenawell/requests/LearnedUsage.h"

namespace verbenawell {

namespace {

// An entry daemon ends an attempt at its caller's deadline. A release that has
// not arrived this long after the deadline was lost with its connection.
constexpr Duration kReleaseGrace = std::chrono::seconds(5);

/// Counts a grant on a worker that may run more attempts than it has slots,
/// because slots were freed whose attempts may still run.
void
CountOverrun(OwnerScope& aScope, const PoolQueue& aQueue, const VmId& aVm)
{
  const auto unconfirmed = aQueue.unconfirmed_.find(aVm);
  if (unconfirmed == aQueue.unconfirmed_.end() ||
      unconfirmed->second.until_ <= aScope.context_.now_) {
    return;
  }
  const SlotCount slots = aScope.views_.fleet_.vms_.at(aVm).facts_.slots_;
  if (aQueue.workers_.Running(aVm) + unconfirmed->second.count_ > slots) {
    aScope.effects_.emplace_back(Count{ Counter::SlotsOverrun });
  }
}

SlotKey
AddGrantedSlot(OwnerScope& aScope,
               PoolQueue& aQueue,
               const QueuedRequest& aRequest,
               const SlotCharge& aCharge,
               const VmId& aVm)
{
  const SlotKey key{ aQueue.epoch_, ++aScope.owner_.lastAttempt_ };
  const TimePoint now = aScope.context_.now_;
  const TimePoint expiresAt = aRequest.deadline_ + kReleaseGrace;
  const RequestHead& head = aRequest.request_.head_;
  const Resources size = ReservedSize(aQueue, head.service_, head.declared_);
  aQueue.sizes_[head.service_].RecordDeclared(head.declared_);
  const Endpoint& address = aScope.views_.fleet_.vms_.at(aVm).facts_.address_;
  aQueue.granted_[key] = { aRequest.id_, aVm,     address, now,
                           expiresAt,    aCharge, size };
  aQueue.expiries_.emplace(expiresAt, key);
  aQueue.workers_.OccupySlot(aVm, size);
  CountOverrun(aScope, aQueue, aVm);
  return key;
}

} // namespace

void
Grant(OwnerScope& aScope,
      const PoolId& aPool,
      PoolQueue& aQueue,
      const ShareKey& aShare,
      const VmId& aWorker)
{
  SlotCharge charge;
  const TimePoint now = aScope.context_.now_;
  const QueuedRequest request = aQueue.queue_.Dequeue(aShare, now, charge);
  aScope.effects_.emplace_back(
    Observe{ LatencyMetric::QueueWait, now - request.queuedAt_ });
  const SlotKey slot = AddGrantedSlot(aScope, aQueue, request, charge, aWorker);
  // The intent of a request that is not idempotent is in the log already: only
  // then does such a request enter the queue.
  SendGrant(aScope, aPool, aQueue, slot);
}

void
SendGrant(OwnerScope& aScope,
          const PoolId& aPool,
          const PoolQueue& aQueue,
          const SlotKey& aSlot)
{
  const GrantedSlot& slot = aQueue.granted_.at(aSlot);
  aScope.effects_.emplace_back(SendPeer{ slot.queuedRequest_.entry_,
                                         SlotGrant{ slot.queuedRequest_.key_,
                                                    aSlot.attempt_,
                                                    aPool,
                                                    aSlot.epoch_,
                                                    slot.vm_,
                                                    slot.address_ } });
}

} // namespace verbenawell
