#pragma once

#include "verbenawell/requests/IntentWindow.h"
#include "verbenawell/requests/OwnerState.h"
#include "verbenawell/requests/RequestEvents.h"

#include <map>
#include <optional>
#include <vector>

namespace verbenawell {

/// A ticket whose intent is to be written.
struct PendingIntent
{
  TicketReady slotRequest_;
  TimePoint submittedAt_;
  /// The ticket has been refused or withdrawn while its batch is on its way.
  bool abandoned_ = false;
};

/// A batch that has not been read back from the log.
struct BatchInFlight
{
  std::uint64_t sequence_ = 0;
  std::vector<PendingIntent> requests_;
  std::vector<RequestId> notRun_;
  TimePoint sentAt_;
  RecordId record_;
};

/// A ticket in the queue or running whose intent is in the log.
struct CommittedRequest
{
  RequestId request_;
  bool granted_ = false;
  /// The attempt that was granted.
  AttemptId attempt_;
};

/// Intents of one pool that this daemon owns.
struct PoolIntents
{
  Term term_;
  /// The claim of this daemon has been read back: the window is complete.
  bool claimed_ = false;
  IntentWindow window_;
  std::uint64_t lastSequence_ = 0;
  std::vector<PendingIntent> collecting_;
  std::vector<RequestId> notRun_;
  std::optional<BatchInFlight> inFlight_;
  TimePoint flushedAt_;
  std::map<QueuedRequestId, CommittedRequest> committed_;
};

struct IntentsState
{
  std::map<PoolId, PoolIntents> pools_;
  bool flushScheduled_ = false;
};

} // namespace verbenawell
