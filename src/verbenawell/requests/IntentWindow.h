#pragma once

#include "verbenawell/core/Time.h"
#include "verbenawell/log/LogRecord.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <unordered_map>
#include <utility>

namespace verbenawell {

/// Hash of a request id or of a ticket. Ids are kept as hashes to bound the
/// memory of the window; a collision makes a request `already-started` that
/// was not, and never lets one run twice.
using IntentHash = std::uint64_t;

IntentHash
HashOf(const RequestId& aRequest);
IntentHash
HashOfQueuedRequest(const DaemonId& aEntry, RequestKey aKey);

/// Time after which a request id is forgotten: ten minutes, and one for the
/// difference between the calendar clocks of two daemons.
inline constexpr Duration kIntentLifetime = std::chrono::minutes(11);

/// A request id that may have run.
struct Intent
{
  IntentHash queuedRequest_ = 0;
  /// Term of the owner that wrote it.
  Term term_;
  TimePoint expiresAt_;
  /// The owner knows that it did not run; the log may not know it yet.
  bool knownNotRun_ = false;
};

/// The fold of a pool's intent stream: the ids that may have run within the
/// last ten minutes, and the owner whose batches count.
struct IntentWindow
{
  DaemonId owner_;
  Term term_;
  std::uint64_t sequence_ = 0;
  std::unordered_map<IntentHash, Intent> intents_;
  std::deque<std::pair<TimePoint, IntentHash>> expiry_;
};

/// Applies a claim; false where an owner of a higher or the same term stands
/// before it.
bool
Apply(IntentWindow& aWindow, const IntentOwner& aClaim);

/// Applies a batch; false where it is void: it stands behind a newer claim, or
/// it stands in the log for the second time.
bool
Apply(IntentWindow& aWindow,
      const IntentBatch& aBatch,
      TimePoint aNow,
      WallTime aWallNow);

/// Forgets ids whose time is over.
void
Prune(IntentWindow& aWindow, TimePoint aNow);

} // namespace verbenawell
