#include "verbenawell/requests/Intents.h"

#include "verbenawell/core/Overloaded.h"
#include "verbenawell/log/Streams.h"
#include "verbenawell/requests/IntentsState.h"
#include "verbenawell/requests/internal/IntentWriter.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace verbenawell {

namespace {

void
MarkGranted(IntentsState& aIntents,
            const QueuedRequestId& aQueuedId,
            const SlotGrant& aGrant)
{
  if (const auto pool = aIntents.pools_.find(aGrant.pool_);
      pool != aIntents.pools_.end()) {
    if (const auto found = pool->second.committed_.find(aQueuedId);
        found != pool->second.committed_.end()) {
      found->second.granted_ = true;
      found->second.attempt_ = aGrant.attempt_;
    }
  }
}

void
MarkRefused(IntentsState& aIntents, const QueuedRequestId& aQueuedId)
{
  for (auto& [id, pool] : aIntents.pools_) {
    const auto found = pool.committed_.find(aQueuedId);
    if (found != pool.committed_.end() && !found->second.granted_) {
      ReleaseIntent(pool, aQueuedId, found->second.request_);
      pool.committed_.erase(found);
    }
  }
}

class Reducer
{
public:
  Reducer(IntentsState& aIntents,
          const Views& aViews,
          const Context& aContext,
          Effects& aEffects)
    : intents_(aIntents)
    , context_(aContext)
    , effects_(aEffects)
    , writer_(aIntents, aViews, aContext, aEffects)
  {
  }

  void operator()(const PoolAcquired& aEvent)
  {
    const auto [entry, isNew] = intents_.pools_.try_emplace(aEvent.pool_);
    PoolIntents& pool = entry->second;
    if (isNew) {
      effects_.emplace_back(
        Raise{ StreamRequested{ IntentStream(aEvent.pool_), Offset{} } });
    }
    // A batch of the previous epoch may be invalid, so the intents of its
    // requests are written again.
    if (pool.inFlight_) {
      std::ranges::copy_if(
        pool.inFlight_->requests_,
        std::back_inserter(pool.collecting_),
        [](const PendingIntent& aPending) { return !aPending.abandoned_; });
      pool.inFlight_.reset();
    }
    pool.committed_.clear();
    pool.epoch_ = aEvent.epoch_;
    pool.claimed_ = false;
    pool.lastSequence_ = 0;
    writer_.Claim(aEvent.pool_, pool);
  }

  void operator()(const IntentRequested& aEvent)
  {
    writer_.Submit(aEvent.slotRequest_);
  }

  void operator()(const PoolLost& aEvent)
  {
    const auto found = intents_.pools_.find(aEvent.pool_);
    if (found == intents_.pools_.end()) {
      return;
    }
    PoolIntents& pool = found->second;
    const auto refuse = [&](const PendingIntent& aPending) {
      if (!aPending.abandoned_) {
        writer_.Refuse(IdOf(aPending.slotRequest_),
                       NotRun{ RefusalReason::NoOwner });
      }
    };
    std::ranges::for_each(pool.collecting_, refuse);
    if (pool.inFlight_) {
      std::ranges::for_each(pool.inFlight_->requests_, refuse);
    }
    intents_.pools_.erase(found);
    effects_.emplace_back(
      Raise{ StreamReleased{ IntentStream(aEvent.pool_) } });
  }

  void operator()(const AttemptsAdopted& aEvent)
  {
    if (const auto found = intents_.pools_.find(aEvent.pool_);
        found != intents_.pools_.end()) {
      for (const auto& [entry, attempt] : aEvent.attempts_) {
        found->second.committed_[{ entry, attempt.key_ }] = {
          attempt.request_, true, attempt.attempt_
        };
      }
    }
  }

  void operator()(const StreamAdvanced& aEvent)
  {
    for (auto& [id, pool] : intents_.pools_) {
      if (IntentStream(id) == aEvent.stream_) {
        for (const LogRecord& record : aEvent.records_) {
          Apply(id, pool, record);
        }
        writer_.Flush(id, pool);
        return;
      }
    }
  }

  void operator()(const AppendAbandoned& aEvent)
  {
    for (auto& [id, pool] : intents_.pools_) {
      if (IntentStream(id) != aEvent.stream_) {
        continue;
      }
      if (pool.inFlight_ && pool.inFlight_->record_ == aEvent.id_) {
        writer_.RefuseOverdue(pool);
        DropBatchInFlight(pool);
      } else if (!pool.claimed_) {
        writer_.Claim(id, pool);
      }
    }
  }

  void operator()(const TimerDue& aEvent)
  {
    if (!std::holds_alternative<IntentFlush>(aEvent.key_)) {
      return;
    }
    intents_.flushScheduled_ = false;
    for (auto& [id, pool] : intents_.pools_) {
      Prune(pool.window_, context_.now_);
      writer_.RefuseOverdue(pool);
      writer_.Flush(id, pool);
    }
    writer_.ScheduleFlush();
  }

  void operator()(const MembersChanged& aEvent)
  {
    for (const DaemonId& lost : aEvent.lost_) {
      for (auto& [id, pool] : intents_.pools_) {
        DropEntry(pool, lost);
      }
    }
  }

  void operator()(const PeerMessageReceived& aEvent)
  {
    std::visit(Overloaded{
                 [&](const SlotCancel& aCancel) {
                   Withdraw(aCancel.pool_, { aEvent.from_, aCancel.key_ });
                 },
                 [&](const SlotRelease& aRelease) {
                   HandleRelease(aEvent.from_, aRelease);
                 },
                 [](const auto&) {},
               },
               aEvent.message_);
  }

  void operator()(const auto&) {}

private:
  void Apply(const PoolId& aId, PoolIntents& aPool, const LogRecord& aRecord)
  {
    std::visit(
      Overloaded{
        [&](const IntentOwner& aClaim) { HandleClaim(aId, aPool, aClaim); },
        [&](const IntentBatch& aBatch) { HandleBatch(aPool, aBatch); },
        [](const auto&) {},
      },
      aRecord.body_);
  }

  void HandleBatch(PoolIntents& aPool, const IntentBatch& aBatch)
  {
    const bool valid = verbenawell::Apply(
      aPool.window_, aBatch, context_.now_, context_.wallNow_);
    if (!valid || aBatch.owner_ != context_.self_) {
      return;
    }
    const bool inFlight = aBatch.epoch_ == aPool.epoch_ && aPool.inFlight_ &&
                          aPool.inFlight_->sequence_ == aBatch.sequence_;
    if (inFlight) {
      writer_.CommitBatch(aPool);
    } else {
      ReleaseGivenUpIntents(aPool, aBatch);
    }
  }

  // An abandoned batch may be in the log nevertheless. Its requests have
  // been refused as not run, so a later attempt of them may be accepted.
  static void ReleaseGivenUpIntents(PoolIntents& aPool,
                                    const IntentBatch& aBatch)
  {
    for (const StartedIntent& started : aBatch.started_) {
      const QueuedRequestId queuedId{ started.entry_, started.key_ };
      if (aBatch.epoch_ == aPool.epoch_ &&
          !aPool.committed_.contains(queuedId)) {
        ReleaseIntent(aPool, queuedId, started.request_);
      }
    }
  }

  // The ids of requests that are known not to have run are written again with
  // the next batch.
  static void DropBatchInFlight(PoolIntents& aPool)
  {
    const BatchInFlight batch = std::move(*aPool.inFlight_);
    aPool.inFlight_.reset();
    for (const RequestId& request : batch.notRun_) {
      const auto intent = aPool.window_.intents_.find(HashOf(request));
      if (intent != aPool.window_.intents_.end() &&
          intent->second.knownNotRun_) {
        aPool.notRun_.push_back(request);
      }
    }
  }

  void HandleClaim(const PoolId& aId,
                   PoolIntents& aPool,
                   const IntentOwner& aClaim)
  {
    const bool inForce = verbenawell::Apply(aPool.window_, aClaim);
    const bool own =
      aClaim.owner_ == context_.self_ && aClaim.epoch_ == aPool.epoch_;
    if (own && inForce) {
      aPool.claimed_ = true;
    } else if (!own && aClaim.epoch_ >= aPool.epoch_) {
      aPool.claimed_ = false;
      effects_.emplace_back(Raise{ EpochExceeded{ aId, aClaim.epoch_ } });
    }
  }

  void Withdraw(const PoolId& aPool, const QueuedRequestId& aQueuedId)
  {
    const auto found = intents_.pools_.find(aPool);
    if (found == intents_.pools_.end()) {
      return;
    }
    PoolIntents& pool = found->second;
    writer_.Abandon(
      pool, [&](const QueuedRequestId& aId) { return aId == aQueuedId; });
    const auto committed = pool.committed_.find(aQueuedId);
    if (committed != pool.committed_.end() && !committed->second.granted_) {
      ReleaseIntent(pool, aQueuedId, committed->second.request_);
      pool.committed_.erase(committed);
      writer_.ScheduleFlush();
    }
  }

  void HandleRelease(const DaemonId& aEntry, const SlotRelease& aRelease)
  {
    const auto found = intents_.pools_.find(aRelease.pool_);
    if (found == intents_.pools_.end()) {
      return;
    }
    PoolIntents& pool = found->second;
    const QueuedRequestId queuedId{ aEntry, aRelease.key_ };
    const auto committed = pool.committed_.find(queuedId);
    if (committed == pool.committed_.end() || !committed->second.granted_ ||
        committed->second.attempt_ != aRelease.attempt_) {
      return;
    }
    const RequestId& request = committed->second.request_;
    if (std::holds_alternative<NotSent>(aRelease.outcome_) ||
        std::holds_alternative<RefusedByWorker>(aRelease.outcome_)) {
      ReopenIntent(pool, queuedId, request);
    } else if (std::holds_alternative<Unused>(aRelease.outcome_)) {
      ReleaseIntent(pool, queuedId, request);
    }
    writer_.ScheduleFlush();
    pool.committed_.erase(committed);
  }

  void DropEntry(PoolIntents& aPool, const DaemonId& aEntry)
  {
    writer_.Abandon(
      aPool, [&](const QueuedRequestId& aId) { return aId.entry_ == aEntry; });
    std::erase_if(aPool.committed_, [&](const auto& aItem) {
      const auto& [queuedId, committed] = aItem;
      if (queuedId.entry_ != aEntry) {
        return false;
      }
      if (!committed.granted_) {
        ReleaseIntent(aPool, queuedId, committed.request_);
      }
      return true;
    });
  }

  IntentsState& intents_;
  const Context& context_;
  Effects& effects_;
  IntentWriter writer_;
};

} // namespace

void
ReduceIntents(IntentsState& aIntents,
              const Views& aViews,
              const Event& aEvent,
              const Context& aContext,
              Effects& aEffects)
{
  std::visit(Reducer{ aIntents, aViews, aContext, aEffects }, aEvent);
}

void
ApplyDecisions(IntentsState& aIntents, std::span<const Effect> aDecided)
{
  for (const Effect& effect : aDecided) {
    const auto* send = std::get_if<SendPeer>(&effect);
    if (send == nullptr) {
      continue;
    }
    std::visit(Overloaded{
                 [&](const SlotGrant& aGrant) {
                   MarkGranted(aIntents, { send->to_, aGrant.key_ }, aGrant);
                 },
                 [&](const SlotRefusal& aRefusal) {
                   MarkRefused(aIntents, { send->to_, aRefusal.key_ });
                 },
                 [](const auto&) {},
               },
               send->message_);
  }
}

} // namespace verbenawell
