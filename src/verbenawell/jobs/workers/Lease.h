#pragma once

#include "verbenawell/core/Time.h"
#include "verbenawell/jobs/model/Ids.h"

#include <chrono>
#include <optional>

namespace verbenawell::jobs {

/// Length of the leases that an owner requests.
constexpr Duration kLeaseDuration = std::chrono::seconds(8);
/// Upper limit that a worker applies to the length of any lease.
constexpr Duration kMaxLeaseDuration = std::chrono::seconds(10);
/// A worker's clock may run up to this much slower than the local clock, in
/// percent.
constexpr int kMaxClockDriftPercent = 2;
/// Added to every computed expiry, since timers may fire late.
constexpr Duration kLeaseExpiryMargin = std::chrono::milliseconds(200);

/// A reading of a worker's clock, and the local time at which it arrived.
struct ClockReading
{
  WorkerTime clock_;
  TimePoint readAt_;
};

/// The lease that covers all runs on one worker.
struct Lease
{
  std::optional<ClockReading> reading_;
  /// The latest lease end sent to the worker, on the worker's clock.
  WorkerTime end_;
  /// Local time from which on every lease granted so far has expired.
  TimePoint expiresAt_;

  /// The lease end, on the worker's clock, of a lease that lasts
  /// `kLeaseDuration` from `aConfirmedAt`. Needs a clock reading.
  [[nodiscard]] WorkerTime EndFor(TimePoint aConfirmedAt) const;

  /// Records that a command or a lease renewal with this lease end is sent.
  void Extend(WorkerTime aEnd);
};

/// The latest local time at which leases of this length expire that were
/// granted up to `aGrantedAt`.
TimePoint
LatestExpiry(TimePoint aGrantedAt, Duration aLength);

} // namespace verbenawell::jobs
