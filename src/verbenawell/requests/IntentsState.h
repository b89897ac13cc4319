#pragma once

#include "verbenawell/requests/IntentWindow.h"
#include "verbenawell/requests/OwnerState.h"
#include "verbenawell/requests/RequestEvents.h"

#include <map>
#include <optional>
#include <vector>

namespace verbenawell {

/// A slot request whose intent is not in the log yet.
struct PendingIntent
{
  SlotRequestReady slotRequest_;
  TimePoint submittedAt_;
  /// The request was refused or withdrawn before its batch was read back.
  bool abandoned_ = false;
};

/// A batch that has been appended to the log and not been read back from it.
struct BatchInFlight
{
  std::uint64_t sequence_ = 0;
  std::vector<PendingIntent> requests_;
  std::vector<RequestId> notRun_;
  TimePoint sentAt_;
  RecordId record_;
};

/// A queued or running request whose intent is in the log.
struct CommittedRequest
{
  RequestId request_;
  bool granted_ = false;
  /// Valid if `granted_`.
  AttemptId attempt_;
};

/// Intents of one pool that this daemon owns.
struct PoolIntents
{
  PoolEpoch epoch_;
  /// The claim of this daemon has been read back from the log, so that all
  /// earlier intents are in the window.
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
