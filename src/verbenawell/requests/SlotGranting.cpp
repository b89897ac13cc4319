#include "verbenawell/requests/SlotGranting.h"

#include "verbenawell/requests/Grant.h"
#include "verbenawell/requests/LearnedUsage.h"

#include <algorithm>
#include <iterator>
#include <optional>
#include <set>
#include <vector>

namespace verbenawell {

namespace {

// Blocked requests looked at for each release, so that its cost is bounded.
constexpr std::size_t kBlockedLooks = 8;

// Requests wait this long for room that others leave before a worker is kept
// free for them.
constexpr Duration kHoldAfter = std::chrono::seconds(2);

WorkerNeed
NeedOf(const PoolQueue& aQueue, const QueuedTicket& aTicket)
{
  const RequestHead& head = aTicket.request_.head_;
  return { ReservedSize(aQueue, head.service_, head.declared_),
           aTicket.request_.tried_,
           head.idempotent_ };
}

void
EndHold(PoolQueue& aQueue)
{
  aQueue.workers_.SetHeld(aQueue.held_->vm_, false);
  aQueue.held_.reset();
}

/// Tells whether the worker is kept free for another request.
bool
IsHeldForOther(const PoolQueue& aQueue, const ShareKey& aShare, const VmId& aVm)
{
  return aQueue.held_ && aQueue.held_->vm_ == aVm &&
         aQueue.held_->share_ != aShare;
}

/// Tells whether the request that the worker is held for still needs it.
bool
IsHoldNeeded(const PoolQueue& aQueue)
{
  const auto& [share, vm] = *aQueue.held_;
  return aQueue.queue_.Blocked().contains(share) &&
         aQueue.workers_.CouldHold(vm,
                                   NeedOf(aQueue, aQueue.queue_.Head(share)));
}

} // namespace

void
GrantFreeSlots(OwnerScope& aScope, const PoolId& aPool, PoolQueue& aQueue)
{
  while (aQueue.workers_.HasFreeSlot()) {
    const std::optional<ShareKey> share = aQueue.queue_.Next();
    if (!share) {
      return;
    }
    const std::optional<VmId> worker = aQueue.workers_.Choose(
      NeedOf(aQueue, aQueue.queue_.Head(*share)), aScope.random_);
    if (worker) {
      Grant(aScope, aPool, aQueue, *share, *worker);
    } else {
      aScope.effects_.emplace_back(Count{ Counter::TicketsBlocked });
      aQueue.queue_.Block(*share);
    }
  }
}

void
GrantSlotsOf(OwnerScope& aScope,
             const PoolId& aPool,
             PoolQueue& aQueue,
             const VmId& aVm)
{
  const std::set<ShareKey>& all = aQueue.queue_.Blocked();
  std::vector<ShareKey> blocked;
  std::copy_n(all.begin(),
              std::min(all.size(), kBlockedLooks),
              std::back_inserter(blocked));
  for (const ShareKey& share : blocked) {
    if (!IsHeldForOther(aQueue, share, aVm) &&
        aQueue.queue_.MayHoldMore(share) &&
        aQueue.workers_.HasPlace(aVm,
                                 NeedOf(aQueue, aQueue.queue_.Head(share)))) {
      aQueue.queue_.Unblock(share);
      Grant(aScope, aPool, aQueue, share, aVm);
      if (aQueue.held_ && aQueue.held_->share_ == share) {
        EndHold(aQueue);
      }
    }
  }
  GrantFreeSlots(aScope, aPool, aQueue);
}

void
HoldWorkerForBlocked(OwnerScope& aScope, PoolQueue& aQueue)
{
  if (aQueue.held_ && !IsHoldNeeded(aQueue)) {
    EndHold(aQueue);
  }
  if (aQueue.held_) {
    return;
  }
  for (const ShareKey& share : aQueue.queue_.Blocked()) {
    const QueuedTicket& head = aQueue.queue_.Head(share);
    if (aScope.context_.now_ - head.queuedAt_ < kHoldAfter) {
      continue;
    }
    if (const auto vm = aQueue.workers_.FindToHold(NeedOf(aQueue, head))) {
      aQueue.workers_.SetHeld(*vm, true);
      aQueue.held_ = HeldWorker{ share, *vm };
      aScope.effects_.emplace_back(Count{ Counter::WorkersHeld });
      return;
    }
  }
}

} // namespace verbenawell
