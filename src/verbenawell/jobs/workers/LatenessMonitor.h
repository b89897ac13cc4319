#pragma once

#include "verbenawell/core/Time.h"

#include <chrono>

namespace verbenawell::jobs {

/// Detects by a periodic timer whether this daemon handles its events late.
class LatenessMonitor
{
public:
  /// Interval of the timer.
  static constexpr Duration kInterval = std::chrono::milliseconds(200);

  /// The timer is set for the first time.
  void Start(TimePoint aNow) { dueAt_ = aNow + kInterval; }
  /// The timer is handled and set again.
  void Tick(TimePoint aNow);

  /// Returns whether no event was handled late from `aStart` to `aNow`.
  [[nodiscard]] bool WasInTime(TimePoint aStart, TimePoint aNow) const;

private:
  /// When the next timer is due.
  TimePoint dueAt_;
  /// When a timer was last handled late.
  TimePoint lateAt_ = TimePoint::min();
};

} // namespace verbenawell::jobs
