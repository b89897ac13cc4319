#include "verbenawell/requests/SlotGranting.h"

#include "verbenawell/requests/Grant.h"

#include <algorithm>
#include <iterator>
#include <optional>
#include <set>
#include <vector>

namespace verbenawell {

namespace {

// Blocked requests looked at for each release, so that its cost is bounded.
constexpr std::size_t kBlockedLooks = 8;

WorkerNeed
NeedOf(const QueuedTicket& aTicket)
{
  return { aTicket.request_.head_.declared_, aTicket.request_.tried_ };
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
      NeedOf(aQueue.queue_.Head(*share)), aScope.random_);
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
    if (aQueue.queue_.MayHoldMore(share) &&
        aQueue.workers_.HasPlace(aVm, NeedOf(aQueue.queue_.Head(share)))) {
      aQueue.queue_.Unblock(share);
      Grant(aScope, aPool, aQueue, share, aVm);
    }
  }
  GrantFreeSlots(aScope, aPool, aQueue);
}

} // namespace verbenawell
