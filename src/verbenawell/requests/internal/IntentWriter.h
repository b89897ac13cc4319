#pragma once

#include "verbenawell/core/Context.h"
#include "verbenawell/core/Effect.h"
#include "verbenawell/core/Views.h"
#include "verbenawell/requests/IntentsState.h"

#include <functional>
#include <string>

namespace verbenawell {

/// Writes intents to the log in batches, and passes their requests to the queue
/// once the batch has been read back.
class IntentWriter
{
public:
  IntentWriter(IntentsState& aIntents,
               const Views& aViews,
               const Context& aContext,
               Effects& aEffects);

  void Submit(const SlotRequestReady& aRequest);
  /// Appends a claim of the pool's intent stream under the pool's epoch.
  void Claim(const PoolId& aId, PoolIntents& aPool);
  /// Appends the next batch if the claim is in force, no other batch is in
  /// flight and the flush interval has passed.
  void Flush(const PoolId& aId, PoolIntents& aPool);
  /// Starts the flush timer if it does not run and there is work for it.
  void ScheduleFlush();
  /// Passes on the requests of the batch in flight, which has been read back
  /// and is valid.
  void CommitBatch(PoolIntents& aPool);
  /// Refuses requests with reason `log-down` if their intents are not read back
  /// in time.
  void RefuseOverdue(PoolIntents& aPool);
  /// Drops uncommitted requests. The intents of those in flight are released
  /// when their batch is read back.
  void Abandon(PoolIntents& aPool,
               const std::function<bool(const QueuedRequestId&)>& aMatches);
  void Refuse(const QueuedRequestId& aQueuedId,
              const std::variant<NotRun, MayHaveRun>& aVerdict);

private:
  [[nodiscard]] Duration WaitAfterMove(const SlotRequestReady& aRequest) const;
  [[nodiscard]] bool IsLogDown(const PoolId& aId,
                               const PoolIntents& aPool) const;
  [[nodiscard]] Duration FlushInterval() const;
  void Append(const PoolId& aId, PoolIntents& aPool, IntentBatch aBatch);
  bool NeedsIntent(PoolIntents& aPool,
                   const BatchInFlight& aBatch,
                   const PendingIntent& aPending);
  void Commit(PoolIntents& aPool, const SlotRequestReady& aRequest);

  IntentsState& intents_;
  const Views& views_;
  const Context& context_;
  Effects& effects_;
};

QueuedRequestId
IdOf(const SlotRequestReady& aRequest);

/// Releases the intent of a request that did not run under this owner, so that
/// the caller may send the request again. Has no effect unless this owner wrote
/// the intent in its present epoch.
void
ReleaseIntent(PoolIntents& aPool,
              const QueuedRequestId& aQueuedId,
              const RequestId& aRequest);

/// As `ReleaseIntent`, but also releases an intent that an earlier owner wrote.
/// Only for requests that are known not to have run under any owner.
void
ReopenIntent(PoolIntents& aPool,
             const QueuedRequestId& aQueuedId,
             const RequestId& aRequest);

} // namespace verbenawell
