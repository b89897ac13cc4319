#include "verbenawell/jobs/overload/LoadShedding.h"

#include <algorithm>
#include <chrono>

namespace verbenawell::jobs {

namespace {

using namespace std::chrono_literals;

// Loop delays at which the first and all submissions are rejected. A job that
// passes six times through a loop that is 100 ms late loses its usual objective
// of 600 ms.
constexpr Duration kFirstRejections = 100ms;
constexpr Duration kOnlyRejections = 500ms;
// Weight of the newest of five measurements a second.
constexpr double kNewestWeight = 0.4;
// Passes of a job through the event loop.
constexpr int kStepsOfJob = 6;
constexpr Duration kMinRetryAfter = 1s;
constexpr Duration kMaxRetryAfter = 30s;

} // namespace

void
LoadShedding::Add(Duration aLoopDelay)
{
  delay_ += kNewestWeight * (static_cast<double>(aLoopDelay.count()) - delay_);
}

Duration
LoadShedding::LoopDelay() const
{
  return Duration{ static_cast<Duration::rep>(delay_) };
}

double
LoadShedding::RejectedShare() const
{
  const double excess = delay_ - static_cast<double>(kFirstRejections.count());
  const Duration range = kOnlyRejections - kFirstRejections;
  return std::clamp(excess / static_cast<double>(range.count()), 0.0, 1.0);
}

bool
LoadShedding::RejectNext()
{
  const double share = RejectedShare();
  if (share == 0) {
    due_ = 0;
    return false;
  }
  due_ += share;
  if (due_ < 1) {
    return false;
  }
  due_ -= 1;
  return true;
}

Duration
LoadShedding::RetryAfter() const
{
  return std::clamp(kStepsOfJob * LoopDelay(), kMinRetryAfter, kMaxRetryAfter);
}

} // namespace verbenawell::jobs
