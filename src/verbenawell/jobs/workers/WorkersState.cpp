#include "verbenawell/jobs/workers/WorkersState.h"

#include "verbenawell/core/Overloaded.h"

#include <algorithm>

namespace verbenawell::jobs {

namespace {

using namespace std::chrono_literals;

// A worker answers a hold within a second; one that was silent for longer may
// be gone, and a start there would wait for its lease.
constexpr Duration kMostSilence = 4s;
// A working worker answers within its wait of a second.
constexpr Duration kSilence = 2s;

} // namespace

std::optional<TimePoint>
Assignment::SettledAt() const
{
  using Moment = std::optional<TimePoint>;
  return std::visit(
    Overloaded{
      [](const Starting&) { return Moment{}; },
      [](const Present& aPresent) { return Moment{ aPresent.shownAt_ }; },
      [](const Stopping& aStop) { return aStop.answeredAt_; } },
    phase_);
}

bool
Worker::HasStranger() const
{
  return std::ranges::any_of(
    runs_, [](const auto& aRun) { return aRun.second.isStranger_; });
}

Room
Worker::Free() const
{
  Room free = entry_.capacity_;
  free -= used_;
  return free;
}

bool
IsSilent(const Worker& aWorker, TimePoint aNow)
{
  return aWorker.isSilent_ || aNow - aWorker.answeredAt_ >= kSilence;
}

bool
TakesStarts(const Worker& aWorker, TimePoint aNow)
{
  return aWorker.isListed_ && aWorker.isStored_ && aWorker.isKnown_ &&
         !aWorker.entry_.draining_ && aWorker.lease_.reading_ &&
         aNow >= aWorker.avoidUntil_ &&
         aNow - aWorker.answeredAt_ < kMostSilence && !aWorker.isSilent_ &&
         !aWorker.HasStranger();
}

} // namespace verbenawell::jobs
