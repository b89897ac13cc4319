#pragma once

#include "verbenawell/core/Time.h"
#include "verbenawell/jobs/model/Ids.h"

#include <chrono>
#include <optional>

namespace verbenawell::jobs {

/// Below `kMaxLeaseDuration`.
constexpr Duration kLeaseDuration = std::chrono::seconds(8);
/// The longest lease that a worker grants.
constexpr Duration kMaxLeaseDuration = std::chrono::seconds(10);
/// A worker's clock may run this much slower than ours, in percent.
constexpr int kMaxClockDriftPercent = 2;
/// Covers timers that fire late.
constexpr Duration kLeaseExpiryMargin = std::chrono::milliseconds(200);

/// A worker's clock as read at a local time.
struct ClockReading
{
  WorkerTime clock_;
  TimePoint readAt_;
};

/// The lease of all that runs on one worker.
struct Lease
{
  std::optional<ClockReading> reading_;
  /// The latest end that an order named.
  WorkerTime end_;
  /// When everything ordered so far has surely lapsed, on the local clock.
  TimePoint expiresAt_;

  /// The end, on the worker's clock, of a lease that is `kLeaseDuration` long
  /// from the moment of `aConfirmedAt`.
  [[nodiscard]] WorkerTime EndFor(TimePoint aConfirmedAt) const;

  /// Notes that an order with this end is sent.
  void Extend(WorkerTime aEnd);
};

/// When leases of this length granted up to `aGrantedAt` have surely lapsed.
TimePoint
LatestExpiry(TimePoint aGrantedAt, Duration aLength);

} // namespace verbenawell::jobs
