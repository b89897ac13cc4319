#include "verbenawell/requests/internal/IntentWriter.h"

#include "verbenawell/fleet/FleetState.h"
#include "verbenawell/log/LogState.h"
#include "verbenawell/log/Streams.h"

#include <algorithm>
#include <utility>

namespace verbenawell {

namespace {

constexpr Duration kMinFlushInterval = std::chrono::milliseconds(50);
// Added to the flush interval for each pool. The intents of all pools together
// then use at most 200 of the several hundred appends per second that the log
// accepts.
constexpr Duration kFlushIntervalPerPool = std::chrono::milliseconds(5);
// Urgent requests must start within 1.6 s; this leaves time for a retry.
constexpr Duration kCommitTimeout = std::chrono::seconds(1);
constexpr Duration kLogDownRetryAfter = std::chrono::seconds(2);
constexpr std::size_t kMaxBatch = 1000;

RecordId
RecordName(const std::string& aKind,
           const PoolId& aPool,
           PoolEpoch aEpoch,
           std::uint64_t aSequence)
{
  return RecordId{ aKind + '/' + aPool.Value() + '/' +
                   std::to_string(aEpoch.Value()) + '/' +
                   std::to_string(aSequence) };
}

// An entry daemon may send a request again while its intent is being written or
// after it was committed.
bool
IsKnown(const PoolIntents& aPool, const QueuedRequestId& aQueuedId)
{
  const auto isSame = [&](const PendingIntent& aPending) {
    return !aPending.abandoned_ && IdOf(aPending.slotRequest_) == aQueuedId;
  };
  return aPool.committed_.contains(aQueuedId) ||
         std::ranges::any_of(aPool.collecting_, isSame) ||
         (aPool.inFlight_ &&
          std::ranges::any_of(aPool.inFlight_->requests_, isSame));
}

} // namespace

IntentWriter::IntentWriter(IntentsState& aIntents,
                           const Views& aViews,
                           const Context& aContext,
                           Effects& aEffects)
  : intents_(aIntents)
  , views_(aViews)
  , context_(aContext)
  , effects_(aEffects)
{
}

void
IntentWriter::Submit(const SlotRequestReady& aRequest)
{
  const auto found = intents_.pools_.find(aRequest.pool_);
  if (found == intents_.pools_.end()) {
    Refuse(IdOf(aRequest), NotRun{ RefusalReason::NoOwner });
    return;
  }
  PoolIntents& pool = found->second;
  if (IsKnown(pool, IdOf(aRequest))) {
    return;
  }
  if (const Duration wait = WaitAfterMove(aRequest); wait > Duration::zero()) {
    Refuse(IdOf(aRequest), NotRun{ RefusalReason::ServiceMoved, wait });
    return;
  }
  if (IsLogDown(found->first, pool)) {
    Refuse(IdOf(aRequest),
           NotRun{ RefusalReason::LogDown, kLogDownRetryAfter });
    return;
  }
  pool.collecting_.push_back({ aRequest, context_.now_, false });
  Flush(found->first, pool);
  ScheduleFlush();
}

void
IntentWriter::Claim(const PoolId& aId, PoolIntents& aPool)
{
  effects_.emplace_back(Raise{
    AppendRequested{ IntentStream(aId),
                     RecordName("intent-owner", aId, aPool.epoch_, 0),
                     IntentOwner{ aId, context_.self_, aPool.epoch_ } } });
}

// After a service has moved to another pool, the intents of its earlier
// requests are in the stream of the old pool. Until the last of them expires, a
// request that is sent again could run twice.
Duration
IntentWriter::WaitAfterMove(const SlotRequestReady& aRequest) const
{
  const auto& services = views_.fleet_.services_;
  const auto service = services.find(aRequest.request_.head_.service_);
  if (service == services.end()) {
    return Duration::zero();
  }
  const auto age = context_.wallNow_ - service->second.movedAt_;
  return kIntentLifetime - std::chrono::duration_cast<Duration>(age);
}

bool
IntentWriter::IsLogDown(const PoolId& aId, const PoolIntents& aPool) const
{
  return IsFailing(views_.log_, IntentStream(aId)) ||
         (aPool.inFlight_ &&
          context_.now_ - aPool.inFlight_->sentAt_ >= kCommitTimeout);
}

Duration
IntentWriter::FlushInterval() const
{
  const auto pools = static_cast<Duration::rep>(views_.fleet_.pools_.size());
  return std::max(kMinFlushInterval, kFlushIntervalPerPool * pools);
}

void
IntentWriter::ScheduleFlush()
{
  const bool needed =
    std::ranges::any_of(intents_.pools_, [](const auto& aItem) {
      const PoolIntents& pool = aItem.second;
      return !pool.collecting_.empty() || !pool.notRun_.empty() ||
             pool.inFlight_.has_value() || !pool.window_.expiry_.empty();
    });
  if (needed && !std::exchange(intents_.flushScheduled_, true)) {
    effects_.emplace_back(SetTimer{ IntentFlush{}, kMinFlushInterval });
  }
}

// Only one batch is in flight at a time, so that the batches of an owner take
// effect in order.
void
IntentWriter::Flush(const PoolId& aId, PoolIntents& aPool)
{
  if (!aPool.claimed_ || aPool.inFlight_ ||
      context_.now_ - aPool.flushedAt_ < FlushInterval()) {
    return;
  }
  IntentBatch batch;
  BatchInFlight inFlight;
  inFlight.sequence_ = aPool.lastSequence_ + 1;
  inFlight.sentAt_ = context_.now_;
  inFlight.record_ =
    RecordName("intents", aId, aPool.epoch_, inFlight.sequence_);
  std::vector<PendingIntent> remaining;
  for (PendingIntent& pending : std::exchange(aPool.collecting_, {})) {
    if (inFlight.requests_.size() >= kMaxBatch) {
      remaining.push_back(std::move(pending));
    } else if (NeedsIntent(aPool, inFlight, pending)) {
      batch.started_.push_back({ pending.slotRequest_.request_.head_.id_,
                                 pending.slotRequest_.entry_,
                                 pending.slotRequest_.request_.key_ });
      inFlight.requests_.push_back(std::move(pending));
    }
  }
  aPool.collecting_ = std::move(remaining);
  batch.notRun_ = std::exchange(aPool.notRun_, {});
  if (batch.started_.empty() && batch.notRun_.empty()) {
    return;
  }
  inFlight.notRun_ = batch.notRun_;
  aPool.inFlight_ = std::move(inFlight);
  Append(aId, aPool, std::move(batch));
}

void
IntentWriter::Append(const PoolId& aId, PoolIntents& aPool, IntentBatch aBatch)
{
  aBatch.pool_ = aId;
  aBatch.owner_ = context_.self_;
  aBatch.epoch_ = aPool.epoch_;
  aBatch.sequence_ = ++aPool.lastSequence_;
  aBatch.at_ = context_.wallNow_;
  aPool.flushedAt_ = context_.now_;
  effects_.emplace_back(Raise{ AppendRequested{
    IntentStream(aId), aPool.inFlight_->record_, std::move(aBatch) } });
}

// Tells whether the request needs an intent; commits or refuses it otherwise.
// `Duplicate` is not a valid refusal here: it means "not run", but another slot
// request with the same request id may be queued or running.
bool
IntentWriter::NeedsIntent(PoolIntents& aPool,
                          const BatchInFlight& aBatch,
                          const PendingIntent& aPending)
{
  const QueuedRequestId queuedId = IdOf(aPending.slotRequest_);
  const RequestId& request = aPending.slotRequest_.request_.head_.id_;
  const bool inBatch =
    std::ranges::any_of(aBatch.requests_, [&](const PendingIntent& aOther) {
      return aOther.slotRequest_.request_.head_.id_ == request;
    });
  const auto intent = aPool.window_.intents_.find(HashOf(request));
  const bool isFree =
    intent == aPool.window_.intents_.end() || intent->second.knownNotRun_;
  if (!inBatch && isFree) {
    return true;
  }
  if (!inBatch && intent->second.queuedRequest_ ==
                    HashOfQueuedRequest(queuedId.entry_, queuedId.key_)) {
    Commit(aPool, aPending.slotRequest_);
    return false;
  }
  Refuse(queuedId, MayHaveRun{ UnknownReason::AlreadyStarted });
  return false;
}

void
IntentWriter::Commit(PoolIntents& aPool, const SlotRequestReady& aRequest)
{
  aPool.committed_[IdOf(aRequest)] = { aRequest.request_.head_.id_, false, {} };
  effects_.emplace_back(Raise{ aRequest });
}

void
IntentWriter::CommitBatch(PoolIntents& aPool)
{
  const BatchInFlight batch = std::move(*aPool.inFlight_);
  aPool.inFlight_.reset();
  for (const PendingIntent& pending : batch.requests_) {
    if (pending.abandoned_) {
      ReleaseIntent(aPool,
                    IdOf(pending.slotRequest_),
                    pending.slotRequest_.request_.head_.id_);
    } else {
      Commit(aPool, pending.slotRequest_);
    }
  }
}

// An overdue request is never granted, so it is refused as not run. Its intent
// may reach the log nevertheless, and is released when the batch is read back.
void
IntentWriter::RefuseOverdue(PoolIntents& aPool)
{
  const auto refuseIfOverdue = [&](PendingIntent& aPending) {
    if (!aPending.abandoned_ &&
        context_.now_ - aPending.submittedAt_ >= kCommitTimeout) {
      aPending.abandoned_ = true;
      Refuse(IdOf(aPending.slotRequest_),
             NotRun{ RefusalReason::LogDown, kLogDownRetryAfter });
    }
  };
  std::ranges::for_each(aPool.collecting_, refuseIfOverdue);
  std::erase_if(aPool.collecting_, [](const PendingIntent& aPending) {
    return aPending.abandoned_;
  });
  if (aPool.inFlight_) {
    std::ranges::for_each(aPool.inFlight_->requests_, refuseIfOverdue);
  }
}

void
IntentWriter::Abandon(
  PoolIntents& aPool,
  const std::function<bool(const QueuedRequestId&)>& aMatches)
{
  std::erase_if(aPool.collecting_, [&](const PendingIntent& aPending) {
    return aMatches(IdOf(aPending.slotRequest_));
  });
  if (aPool.inFlight_) {
    for (PendingIntent& pending : aPool.inFlight_->requests_) {
      pending.abandoned_ =
        pending.abandoned_ || aMatches(IdOf(pending.slotRequest_));
    }
  }
}

void
IntentWriter::Refuse(const QueuedRequestId& aQueuedId,
                     const std::variant<NotRun, MayHaveRun>& aVerdict)
{
  effects_.emplace_back(
    SendPeer{ aQueuedId.entry_, SlotRefusal{ aQueuedId.key_, aVerdict } });
}

QueuedRequestId
IdOf(const SlotRequestReady& aRequest)
{
  return { aRequest.entry_, aRequest.request_.key_ };
}

// A request whose intent an earlier owner wrote may have run under that owner,
// whose grants are not known here. Such an intent is not released.
void
ReleaseIntent(PoolIntents& aPool,
              const QueuedRequestId& aQueuedId,
              const RequestId& aId)
{
  const auto intent = aPool.window_.intents_.find(HashOf(aId));
  if (intent != aPool.window_.intents_.end() &&
      intent->second.epoch_ == aPool.epoch_) {
    ReopenIntent(aPool, aQueuedId, aId);
  }
}

void
ReopenIntent(PoolIntents& aPool,
             const QueuedRequestId& aQueuedId,
             const RequestId& aId)
{
  const auto intent = aPool.window_.intents_.find(HashOf(aId));
  if (intent != aPool.window_.intents_.end() &&
      intent->second.queuedRequest_ ==
        HashOfQueuedRequest(aQueuedId.entry_, aQueuedId.key_)) {
    intent->second.knownNotRun_ = true;
    aPool.notRun_.push_back(aId);
  }
}

} // namespace verbenawell
