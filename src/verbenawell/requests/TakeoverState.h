#pragma once

#include "verbenawell/requests/RequestEvents.h"

#include <map>
#include <set>
#include <vector>

namespace verbenawell {

/// A pool whose queue this daemon has claimed.
struct OwnedPool
{
  PoolEpoch epoch_;
  TimePoint claimedAt_;
  /// Slots may be granted: the reports of the other daemons have arrived or
  /// timed out.
  bool open_ = false;
  /// Daemons whose reports have not come yet.
  std::set<DaemonId> awaited_;
  /// Attempts that the reports name; they get their slots when the pool opens.
  std::vector<AdoptedAttempt> running_;
  /// Slot requests that arrived before the pool opened.
  std::vector<SlotRequestReady> deferred_;
  /// Audits without a report so far: when each entry daemon was asked.
  std::map<DaemonId, TimePoint> audits_;
};

/// Which pools this daemon owns, and under which epochs.
struct TakeoverState
{
  std::map<PoolId, OwnedPool> owned_;
  /// When pools were given up because another daemon has a higher epoch.
  std::map<PoolId, TimePoint> relinquished_;
  TimePoint lastEventAt_;
  TimePoint auditedAt_;
  /// No pool is claimed before this time.
  TimePoint pausedUntil_;
  bool mayOwn_ = true;
};

} // namespace verbenawell
