#include "verbenawell/jobs/workers/Lease.h"

#include <algorithm>

namespace verbenawell::jobs {

namespace {

Duration
OnSlowestClock(Duration aTime)
{
  return aTime * 100 / (100 - kMaxClockDriftPercent);
}

} // namespace

// The worker reads its clock some time before its response arrives here, so it
// reaches the computed end slightly before `aConfirmedAt` + `kLeaseDuration`,
// never after it.
WorkerTime
Lease::EndFor(TimePoint aConfirmedAt) const
{
  const Duration left = aConfirmedAt + kLeaseDuration - reading_->readAt_;
  return WorkerTime{
    reading_->clock_.Value() +
    std::chrono::duration_cast<std::chrono::milliseconds>(left).count()
  };
}

void
Lease::Extend(WorkerTime aEnd)
{
  end_ = std::max(end_, aEnd);
  const std::chrono::milliseconds left{ aEnd.Value() -
                                        reading_->clock_.Value() };
  expiresAt_ = std::max(
    expiresAt_, reading_->readAt_ + OnSlowestClock(left) + kLeaseExpiryMargin);
}

TimePoint
LatestExpiry(TimePoint aGrantedAt, Duration aLength)
{
  return aGrantedAt + OnSlowestClock(aLength) + kLeaseExpiryMargin;
}

} // namespace verbenawell::jobs
