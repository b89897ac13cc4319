#include "verbenawell/jobs/pools/ArrivalRate.h"

#include "verbenawell/core/Saturating.h"

#include <chrono>

namespace verbenawell::jobs {

namespace {

using namespace std::chrono_literals;

// Length of the sliding window. It contains several arrivals of a burst and
// shows a burst long before it fills a pool.
constexpr Duration kWindow = 1s;

} // namespace

void
ArrivalRate::Add(TimePoint aAt, std::uint64_t aWork)
{
  while (!arrivals_.empty() && aAt - arrivals_.front().first > kWindow) {
    arrivals_.pop_front();
  }
  arrivals_.emplace_back(aAt, aWork);
}

std::uint64_t
ArrivalRate::RequiredCpuAt(TimePoint aNow) const
{
  std::uint64_t work = 0;
  for (const auto& [at, amount] : arrivals_) {
    if (aNow - at <= kWindow) {
      work = SaturatingAdd(work, amount);
    }
  }
  return work / static_cast<std::uint64_t>(kWindow.count());
}

} // namespace verbenawell::jobs
