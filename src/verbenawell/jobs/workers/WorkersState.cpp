#include "verbenawell/jobs/workers/WorkersState.h"

#include "verbenawell/core/Overloaded.h"

#include <algorithm>

namespace verbenawell::jobs {

namespace {

using namespace std::chrono_literals;

// A worker gets start commands only while its last response is younger than
// this. Workers respond to a lease renewal within a second. One that has not
// responded for longer may have ended, and a task started there would have to
// wait until the lease expires.
constexpr Duration kMaxResponseAgeForStarts = 4s;
// A worker counts as unresponsive when its last response is this old: an idle
// worker is asked every `kIdleRenewalDelay`, and its lease renewal has a
// response or has failed within a second.
constexpr Duration kUnresponsiveAfter = kIdleRenewalDelay + 1s;

// A worker responds to a lease renewal within a second, or a little later if it
// is slow. Older reports show that this daemon is late.
constexpr Duration kMaxReportAge = 1500ms;

} // namespace

std::optional<TimePoint>
Assignment::AcknowledgedAt() const
{
  using Moment = std::optional<TimePoint>;
  return std::visit(
    Overloaded{
      [](const Starting&) { return Moment{}; },
      [](const Present& aPresent) { return Moment{ aPresent.presentSince_ }; },
      [](const Stopping& aStop) { return aStop.respondedAt_; } },
    phase_);
}

bool
Worker::HasUnknownRun() const
{
  return std::ranges::any_of(
    runs_, [](const auto& aRun) { return aRun.second.isUnknownRun_; });
}

Resources
Worker::Free() const
{
  Resources free = entry_.capacity_;
  free -= used_;
  return free;
}

bool
IsUnresponsive(const Worker& aWorker, TimePoint aNow)
{
  return aWorker.isUnresponsive_ ||
         aNow - aWorker.lastResponseAt_ >= kUnresponsiveAfter;
}

bool
HasCurrentReport(const Worker& aWorker, TimePoint aNow)
{
  return aWorker.isSilent_ || (!aWorker.isUnresponsive_ &&
                               aNow - aWorker.lastResponseAt_ <= kMaxReportAge);
}

bool
TakesAssignedRuns(const Worker& aWorker, TimePoint aNow)
{
  return aWorker.isListed_ && !aWorker.entry_.draining_ &&
         !aWorker.endKnownAt_ && !aWorker.isUnresponsive_ &&
         aNow - aWorker.lastResponseAt_ < kMaxResponseAgeForStarts;
}

bool
IsSchedulable(const Worker& aWorker, TimePoint aNow)
{
  return TakesAssignedRuns(aWorker, aNow) && aWorker.isStored_ &&
         aWorker.hasResponded_ && aWorker.lease_.reading_ &&
         aNow >= aWorker.avoidUntil_ && !aWorker.HasUnknownRun();
}

} // namespace verbenawell::jobs
