#pragma once

#include "verbenawell/core/Time.h"
#include "verbenawell/log/LogRecord.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <unordered_map>
#include <utility>

namespace verbenawell {

/// Hash of a request id or of a queued request's id. Ids are stored as hashes
/// to bound the memory of the window. A collision can cause a request to be
/// refused as `already-started`, but never to run twice.
using IntentHash = std::uint64_t;

IntentHash
HashOf(const RequestId& aRequest);
IntentHash
HashOfQueuedRequest(const DaemonId& aEntry, RequestKey aKey);

/// Time after which a request id is forgotten: ten minutes, plus one minute for
/// the difference between the calendar clocks of two daemons.
inline constexpr Duration kIntentLifetime = std::chrono::minutes(11);

/// A request id that may have run.
struct Intent
{
  IntentHash queuedRequest_ = 0;
  /// Epoch of the owner that wrote the intent.
  PoolEpoch epoch_;
  TimePoint expiresAt_;
  /// This owner knows that the request did not run. The log may not show it
  /// yet.
  bool knownNotRun_ = false;
};

/// State built from a pool's intent stream: the requests that may have run
/// within the last ten minutes, and the owner whose batches are valid.
struct IntentWindow
{
  DaemonId owner_;
  PoolEpoch epoch_;
  std::uint64_t sequence_ = 0;
  std::unordered_map<IntentHash, Intent> intents_;
  std::deque<std::pair<TimePoint, IntentHash>> expiry_;
};

/// Applies a claim. Returns false if the claim is not in force: the stream has
/// a claim with a higher epoch, or one of another owner with the same epoch.
bool
Apply(IntentWindow& aWindow, const IntentOwner& aClaim);

/// Applies a batch. Returns false if the batch is invalid: it follows a newer
/// claim, or it is a duplicate.
bool
Apply(IntentWindow& aWindow,
      const IntentBatch& aBatch,
      TimePoint aNow,
      WallTime aWallNow);

/// Removes the intents that have expired.
void
Prune(IntentWindow& aWindow, TimePoint aNow);

} // namespace verbenawell
