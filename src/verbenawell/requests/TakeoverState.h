#pragma once

#include "verbenawell/requests/RequestEvents.h"

#include <map>
#include <set>
#include <vector>

namespace verbenawell {

/// A pool whose queue this daemon owns or is about to own.
struct OwnedPool
{
  Term term_;
  TimePoint claimedAt_;
  /// False while reports are awaited; nothing is granted until then.
  bool open_ = false;
  std::set<DaemonId> awaited_;
  std::vector<AdoptedAttempt> running_;
  std::vector<TicketReady> deferred_;
  /// When a report was asked for that has not come yet, by entry daemon.
  std::map<DaemonId, TimePoint> audits_;
};

/// Which pools this daemon owns, and under which terms.
struct TakeoverState
{
  std::map<PoolId, OwnedPool> owned_;
  /// Pools given up to a claim with a higher term, and when.
  std::map<PoolId, TimePoint> relinquished_;
  TimePoint lastEventAt_;
  TimePoint auditedAt_;
  /// No pool is claimed before this time.
  TimePoint pausedUntil_;
  bool mayOwn_ = true;
};

} // namespace verbenawell
