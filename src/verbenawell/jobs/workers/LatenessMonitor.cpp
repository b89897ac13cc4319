#include "verbenawell/jobs/workers/LatenessMonitor.h"

namespace verbenawell::jobs {

namespace {

using namespace std::chrono_literals;

// A response passes the event loop several times, and a call to a worker times
// out after about a second.
constexpr Duration kMaxTimerDelay = 200ms;

} // namespace

void
LatenessMonitor::Tick(TimePoint aNow)
{
  if (aNow > dueAt_ + kMaxTimerDelay) {
    lateAt_ = aNow;
  }
  dueAt_ = aNow + kInterval;
}

bool
LatenessMonitor::WasInTime(TimePoint aStart, TimePoint aNow) const
{
  return lateAt_ < aStart && aNow <= dueAt_ + kMaxTimerDelay;
}

} // namespace verbenawell::jobs
