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

// Maximum number of blocked shares checked per release; bounds its cost.
constexpr std::size_t kMaxBlockedChecks = 8;

// How long a request must have waited before a worker is reserved for it.
constexpr Duration kReserveAfter = std::chrono::seconds(2);

WorkerNeed
NeedOf(const PoolQueue& aQueue, const QueuedRequest& aRequest)
{
  const RequestHead& head = aRequest.request_.head_;
  return { ReservedSize(aQueue, head.service_, head.declared_),
           aRequest.request_.tried_,
           head.idempotent_ };
}

void
EndReservation(PoolQueue& aQueue)
{
  aQueue.workers_.SetReserved(aQueue.reservedWorker_->vm_, false);
  aQueue.reservedWorker_.reset();
}

/// Tells whether the worker is reserved for another share.
bool
IsReservedForOther(const PoolQueue& aQueue,
                   const ShareKey& aShare,
                   const VmId& aVm)
{
  return aQueue.reservedWorker_ && aQueue.reservedWorker_->vm_ == aVm &&
         aQueue.reservedWorker_->share_ != aShare;
}

/// Tells whether the share with the reservation is still blocked and its first
/// request still fits on the worker.
bool
IsReservationNeeded(const PoolQueue& aQueue)
{
  const auto& [share, vm] = *aQueue.reservedWorker_;
  return aQueue.queue_.Blocked().contains(share) &&
         aQueue.workers_.FitsWhenIdle(
           vm, NeedOf(aQueue, aQueue.queue_.Head(share)));
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
      aScope.effects_.emplace_back(Count{ Counter::QueuedRequestsBlocked });
      aQueue.queue_.Block(*share);
    }
  }
}

void
GrantSlotsOfWorker(OwnerScope& aScope,
                   const PoolId& aPool,
                   PoolQueue& aQueue,
                   const VmId& aVm)
{
  const std::set<ShareKey>& all = aQueue.queue_.Blocked();
  std::vector<ShareKey> blocked;
  std::copy_n(all.begin(),
              std::min(all.size(), kMaxBlockedChecks),
              std::back_inserter(blocked));
  for (const ShareKey& share : blocked) {
    if (!IsReservedForOther(aQueue, share, aVm) &&
        aQueue.queue_.MayUseMoreSlots(share) &&
        aQueue.workers_.HasCapacityFor(
          aVm, NeedOf(aQueue, aQueue.queue_.Head(share)))) {
      aQueue.queue_.Unblock(share);
      Grant(aScope, aPool, aQueue, share, aVm);
      if (aQueue.reservedWorker_ && aQueue.reservedWorker_->share_ == share) {
        EndReservation(aQueue);
      }
    }
  }
  GrantFreeSlots(aScope, aPool, aQueue);
}

void
ReserveWorkerForBlocked(OwnerScope& aScope, PoolQueue& aQueue)
{
  if (aQueue.reservedWorker_ && !IsReservationNeeded(aQueue)) {
    EndReservation(aQueue);
  }
  if (aQueue.reservedWorker_) {
    return;
  }
  for (const ShareKey& share : aQueue.queue_.Blocked()) {
    const QueuedRequest& head = aQueue.queue_.Head(share);
    if (aScope.context_.now_ - head.queuedAt_ < kReserveAfter) {
      continue;
    }
    if (const auto vm = aQueue.workers_.FindToReserve(NeedOf(aQueue, head))) {
      aQueue.workers_.SetReserved(*vm, true);
      aQueue.reservedWorker_ = ReservedWorker{ share, *vm };
      aScope.effects_.emplace_back(Count{ Counter::WorkersReserved });
      return;
    }
  }
}

} // namespace verbenawell
