#pragma once

#include "verbenawell/core/Context.h"
#include "verbenawell/core/Effect.h"
#include "verbenawell/core/Views.h"
#include "verbenawell/requests/IntentsState.h"

#include <functional>
#include <string>

namespace verbenawell {

/// Collects intents into batches and lets their tickets pass to the queue
/// once the batch has been read back from the log.
class IntentWriter
{
public:
  IntentWriter(IntentsState& aIntents,
               const Views& aViews,
               const Context& aContext,
               Effects& aEffects);

  void Submit(const TicketReady& aRequest);
  /// Claims the pool's intents under its term.
  void Claim(const PoolId& aId, PoolIntents& aPool);
  /// Writes what is due and allowed now.
  void Flush(const PoolId& aId, PoolIntents& aPool);
  /// Makes sure that the flush timer runs while there is work for it.
  void ScheduleFlush();
  /// The batch in flight is in the log and valid.
  void CommitBatch(PoolIntents& aPool);
  /// Refuses tickets whose batch does not settle in time as `log-down`.
  void RefuseOverdue(PoolIntents& aPool);
  /// Drops uncommitted tickets; those in flight are released when it settles.
  void Abandon(PoolIntents& aPool,
               const std::function<bool(const QueuedRequestId&)>& aMatches);
  void Refuse(const QueuedRequestId& aQueuedId,
              const std::variant<NotRun, MayHaveRun>& aVerdict);

private:
  [[nodiscard]] Duration WaitAfterMove(const TicketReady& aRequest) const;
  [[nodiscard]] bool IsLogDown(const PoolId& aId,
                               const PoolIntents& aPool) const;
  [[nodiscard]] Duration FlushInterval() const;
  void Append(const PoolId& aId, PoolIntents& aPool, IntentBatch aBatch);
  bool NeedsIntent(PoolIntents& aPool,
                   const BatchInFlight& aBatch,
                   const PendingIntent& aPending);
  void Commit(PoolIntents& aPool, const TicketReady& aRequest);

  IntentsState& intents_;
  const Views& views_;
  const Context& context_;
  Effects& effects_;
};

QueuedRequestId
IdOf(const TicketReady& aRequest);

/// The ticket did not run under this owner. Its request is open to other
/// tickets if this owner wrote the intent in its present term.
void
ReleaseIntent(PoolIntents& aPool,
              const QueuedRequestId& aQueuedId,
              const RequestId& aRequest);

/// The ticket surely did not run: its request is open to other tickets.
void
ReopenIntent(PoolIntents& aPool,
             const QueuedRequestId& aQueuedId,
             const RequestId& aRequest);

} // namespace verbenawell
