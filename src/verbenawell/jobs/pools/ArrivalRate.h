#pragma once

#include "verbenawell/core/Time.h"

#include <cstdint>
#include <deque>
#include <utility>

namespace verbenawell::jobs {

/// The work that arrived for one pool within a sliding window.
class ArrivalRate
{
public:
  /// Adds work, in thousandths of a core times microseconds.
  void Add(TimePoint aAt, std::uint64_t aWork);

  /// CPU that keeps up with the arrivals, in thousandths of a core.
  [[nodiscard]] std::uint64_t RequiredCpuAt(TimePoint aNow) const;

private:
  std::deque<std::pair<TimePoint, std::uint64_t>> arrivals_;
};

} // namespace verbenawell::jobs
