#pragma once

#include <chrono>

namespace verbenawell {

using Duration = std::chrono::microseconds;

/// Monotonic clock of one daemon. It has no `now()`: reducers get the current
/// time from their `Context`.
struct MonotonicClock
{
  using rep = Duration::rep;
  using period = Duration::period;
  using duration = Duration;
  using time_point = std::chrono::time_point<MonotonicClock>;
  static constexpr bool is_steady = true;
};

using TimePoint = MonotonicClock::time_point;

/// Calendar time in milliseconds, for records that people read.
using WallTime =
  std::chrono::time_point<std::chrono::system_clock, std::chrono::milliseconds>;

} // namespace verbenawell
