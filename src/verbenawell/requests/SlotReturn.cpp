#include "verbenawell/requests/SlotReturn.h"

#include "verbenawell/core/Overloaded.h"
#include "verbenawell/fleet/FleetState.h"
#include "verbenawell/requests/LearnedUsage.h"
#include "verbenawell/requests/PoolWorkers.h"
#include "verbenawell/requests/SlotAdmission.h"
#include "verbenawell/requests/SlotGranting.h"

#include <optional>
#include <vector>

namespace verbenawell {

namespace {

// How long an attempt may continue on its worker after its entry daemon is
// lost.
constexpr Duration kUnconfirmedWindow = std::chrono::seconds(2);

// Time after which an adopted slot is freed. The remaining time of its attempt
// is not known, so this is the longest time limit of a request.
constexpr Duration kAdoptedSlotTime = std::chrono::minutes(10);

/// The run time to learn from; empty if the outcome gives no information about
/// it, as after a failure.
std::optional<Duration>
ObservedRunTime(const AttemptOutcome& aOutcome, Duration aRunTime)
{
  constexpr int kServerError = 500;
  return std::visit(
    Overloaded{
      [&](const CompleteResponse& aResponse) {
        return aResponse.status_ < kServerError ? std::optional{ aRunTime }
                                                : std::nullopt;
      },
      [&](const ResponseTimeout&) { return std::optional{ aRunTime }; },
      [](const auto&) { return std::optional<Duration>{}; },
    },
    aOutcome);
}

GrantedSlot
FreeSlot(OwnerScope& aScope,
         PoolQueue& aQueue,
         const SlotKey& aKey,
         std::optional<Duration> aObserved)
{
  const auto found = aQueue.granted_.find(aKey);
  GrantedSlot slot = std::move(found->second);
  aQueue.granted_.erase(found);
  aQueue.expiries_.erase({ slot.expiresAt_, aKey });
  aQueue.workers_.ReturnSlot(slot.vm_, slot.size_);
  aQueue.queue_.ReturnSlot(slot.charge_, aObserved, aScope.context_.now_);
  return slot;
}

/// Frees a slot whose attempt may still run.
void
FreeUnconfirmed(OwnerScope& aScope,
                const PoolId& aPool,
                PoolQueue& aQueue,
                const SlotKey& aKey,
                Counter aCounter)
{
  const VmId vm = FreeSlot(aScope, aQueue, aKey, {}).vm_;
  UnconfirmedSlots& unconfirmed = aQueue.unconfirmed_[vm];
  ++unconfirmed.count_;
  unconfirmed.until_ = aScope.context_.now_ + kUnconfirmedWindow;
  aScope.effects_.emplace_back(Count{ aCounter });
  ReportIfDrained(aScope, aPool, vm);
  GrantSlotsOfWorker(aScope, aPool, aQueue, vm);
}

} // namespace

void
ReleaseSlot(OwnerScope& aScope, const SlotRelease& aRelease)
{
  const auto pool = aScope.owner_.pools_.find(aRelease.pool_);
  const SlotKey key{ aRelease.epoch_, aRelease.attempt_ };
  if (pool == aScope.owner_.pools_.end() ||
      !pool->second.granted_.contains(key)) {
    return;
  }
  PoolQueue& queue = pool->second;
  const auto observed = ObservedRunTime(aRelease.outcome_, aRelease.runTime_);
  const VmId vm = FreeSlot(aScope, queue, key, observed).vm_;
  RecordHealth(aScope, pool->first, queue, vm, aRelease.outcome_);
  ReportIfDrained(aScope, pool->first, vm);
  GrantSlotsOfWorker(aScope, pool->first, queue, vm);
}

void
AdoptSlot(OwnerScope& aScope,
          const PoolId& aPool,
          const DaemonId& aEntry,
          const ServiceId& aService,
          const RunningAttempt& aRunning)
{
  PoolQueue& queue = FindOrAddPool(aScope, aPool);
  const SlotKey key{ aRunning.epoch_, aRunning.attempt_ };
  if (queue.granted_.contains(key)) {
    return;
  }
  const TimePoint now = aScope.context_.now_;
  const ShareKey share{ aService, aRunning.team_, aRunning.urgency_ };
  const SlotCharge charge =
    queue.queue_.Adopt(share, LimitsOf(aScope, share), now);
  const TimePoint expiresAt = now + kAdoptedSlotTime;
  const Resources size = ReservedSize(queue, aService, aRunning.size_);
  queue.granted_[key] = {
    { aEntry, aRunning.key_ }, aRunning.vm_, {}, now, expiresAt, charge, size
  };
  queue.expiries_.emplace(expiresAt, key);
  queue.workers_.OccupySlot(aRunning.vm_, size);
}

void
DropEntry(OwnerScope& aScope, const DaemonId& aEntry)
{
  for (auto& [id, queue] : aScope.owner_.pools_) {
    for (const QueuedRequestId& request : queue.queue_.RequestsOf(aEntry)) {
      queue.queue_.Remove(request);
    }
    std::vector<SlotKey> lost;
    for (const auto& [key, slot] : queue.granted_) {
      if (slot.queuedRequest_.entry_ == aEntry) {
        lost.push_back(key);
      }
    }
    for (const SlotKey& key : lost) {
      FreeUnconfirmed(
        aScope, id, queue, key, Counter::SlotsFreedAfterEntryLoss);
    }
  }
}

void
ExpireSlots(OwnerScope& aScope, const PoolId& aPool, PoolQueue& aQueue)
{
  const TimePoint now = aScope.context_.now_;
  while (!aQueue.expiries_.empty() && aQueue.expiries_.begin()->first <= now) {
    const SlotKey key = aQueue.expiries_.begin()->second;
    FreeUnconfirmed(aScope, aPool, aQueue, key, Counter::SlotsExpired);
  }
  std::erase_if(aQueue.unconfirmed_, [&](const auto& aEntry) {
    return aEntry.second.until_ <= now;
  });
}

} // namespace verbenawell
