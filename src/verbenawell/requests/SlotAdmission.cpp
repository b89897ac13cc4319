#include "verbenawell/requests/SlotAdmission.h"

#include "verbenawell/fleet/FleetState.h"
#include "verbenawell/requests/LearnedUsage.h"
#include "verbenawell/requests/PoolWorkers.h"
#include "verbenawell/requests/SlotGranting.h"

#include <algorithm>
#include <optional>

namespace verbenawell {

namespace {

// Longest wait of an urgent request for a slot.
constexpr Duration kUrgentStart = std::chrono::milliseconds(1600);
constexpr Duration kNoWorkerRetryAfter = std::chrono::seconds(2);
constexpr Duration kMinRetryAfter = std::chrono::milliseconds(100);
constexpr Duration kMaxRetryAfter = std::chrono::seconds(60);

void
Refuse(OwnerScope& aScope, const QueuedRequestId& aId, const NotRun& aVerdict)
{
  aScope.effects_.emplace_back(
    SendPeer{ aId.entry_, SlotRefusal{ aId.key_, aVerdict } });
}

NotRun
RetryLater(RefusalReason aReason, Duration aAfter)
{
  return { aReason, std::clamp(aAfter, kMinRetryAfter, kMaxRetryAfter) };
}

Duration
LongestWait(const RequestHead& aHead)
{
  return aHead.urgency_ == Urgency::Urgent
           ? std::min(aHead.deadline_, kUrgentStart)
           : aHead.deadline_;
}

/// Refusal of a request that no worker of the pool can run; empty if one can.
std::optional<NotRun>
CheckWorkers(const PoolQueue& aQueue, const SlotRequest& aRequest)
{
  const WorkerIndex& workers = aQueue.workers_;
  const Resources& declared = aRequest.head_.declared_;
  if (!workers.MayEverServe({ declared, aRequest.tried_ })) {
    return NotRun{ RefusalReason::NoWorker, kNoWorkerRetryAfter };
  }
  // A request whose declared size fits is never refused for its corrected
  // size: no further runs would then correct a wrong estimate.
  if (!workers.FitsAnyWorker(declared) &&
      !workers.FitsAnyWorker(
        CorrectedSize(aQueue, aRequest.head_.service_, declared))) {
    return NotRun{ RefusalReason::NeverFits };
  }
  return {};
}

/// Returns the refusal if the queue cannot accept the request or cannot serve
/// it in time; empty if it can do both.
std::optional<NotRun>
FindQueueRefusal(const FairQueue& aQueue,
                 const ShareKey& aKey,
                 const RequestHead& aHead)
{
  const Duration wait = aQueue.ExpectedWait(aKey);
  const Duration maxWait = LongestWait(aHead);
  if (aHead.deadline_ <= Duration::zero()) {
    return NotRun{ RefusalReason::Deadline };
  }
  if (aQueue.IsOverQuota(aKey)) {
    return RetryLater(RefusalReason::Quota, wait);
  }
  if (!aQueue.HasCapacity(aKey, aHead.bodySize_)) {
    return RetryLater(RefusalReason::QueueFull, wait);
  }
  if (wait > maxWait) {
    // After this time, the expected wait is short enough if no further
    // requests have arrived.
    return RetryLater(RefusalReason::Deadline, wait - maxWait);
  }
  return {};
}

} // namespace

void
AdmitSlotRequest(OwnerScope& aScope,
                 const DaemonId& aEntry,
                 const SlotRequest& aRequest)
{
  const RequestHead& head = aRequest.head_;
  const QueuedRequestId id{ aEntry, aRequest.key_ };
  const FleetState& fleet = aScope.views_.fleet_;
  const auto service = fleet.services_.find(head.service_);
  if (service == fleet.services_.end()) {
    Refuse(aScope, id, NotRun{ RefusalReason::UnknownService });
    return;
  }
  const PoolId& pool = service->second.pool_;
  PoolQueue& queue = FindOrAddPool(aScope, pool);
  if (queue.queue_.Contains(id)) {
    // The entry daemon has sent the request again; its position is kept.
    return;
  }
  if (const auto refusal = CheckWorkers(queue, aRequest)) {
    Refuse(aScope, id, *refusal);
    return;
  }
  const ShareKey key{ head.service_, head.team_, head.urgency_ };
  if (const auto refusal = FindQueueRefusal(queue.queue_, key, head)) {
    Refuse(aScope, id, *refusal);
    return;
  }
  const TimePoint now = aScope.context_.now_;
  queue.queue_.Push({ id, aRequest, now, now + head.deadline_ },
                    LimitsOf(aScope, key));
  GrantFreeSlots(aScope, pool, queue);
}

void
WithdrawSlotRequest(OwnerScope& aScope,
                    const QueuedRequestId& aId,
                    const PoolId& aPool)
{
  if (const auto pool = aScope.owner_.pools_.find(aPool);
      pool != aScope.owner_.pools_.end() && pool->second.queue_.Remove(aId)) {
    aScope.effects_.emplace_back(Count{ Counter::QueuedRequestsCancelled });
    GrantFreeSlots(aScope, aPool, pool->second);
  }
}

void
ExpireSlotRequests(OwnerScope& aScope, PoolQueue& aQueue)
{
  const RefusalReason reason = aQueue.workers_.Serving() == VmCount{}
                                 ? RefusalReason::NoWorker
                                 : RefusalReason::Deadline;
  while (const QueuedRequest* expired =
           aQueue.queue_.FirstExpired(aScope.context_.now_)) {
    const QueuedRequestId id = expired->id_;
    const RequestHead& head = expired->request_.head_;
    const Duration wait =
      aQueue.queue_.ExpectedWait({ head.service_, head.team_, head.urgency_ });
    aScope.effects_.emplace_back(Count{ Counter::QueuedRequestsExpired });
    Refuse(aScope, id, RetryLater(reason, wait));
    aQueue.queue_.Remove(id);
  }
}

ShareLimits
LimitsOf(const OwnerScope& aScope, const ShareKey& aKey)
{
  const FleetState& fleet = aScope.views_.fleet_;
  ShareLimits limits;
  // Services are weighted by the number of VMs in their availability budgets.
  if (const auto service = fleet.services_.find(aKey.service_);
      service != fleet.services_.end()) {
    limits.serviceWeight_ = ShareWeight{ service->second.budget_.Value() };
  }
  if (const auto quota = fleet.quotas_.find({ aKey.team_, aKey.service_ });
      quota != fleet.quotas_.end()) {
    limits.teamWeight_ = quota->second.weight_;
    limits.slots_ = quota->second.limit_;
  }
  return limits;
}

} // namespace verbenawell
