#pragma once

#include "verbenawell/core/Units.h"

#include <algorithm>

namespace verbenawell::jobs {

/// Resources that a task takes or that a worker offers.
struct Room
{
  MilliCores cpu_;
  Megabytes memory_;
  Accelerators accelerators_;

  bool operator==(const Room&) const = default;

  Room& operator+=(const Room& aOther)
  {
    cpu_ += aOther.cpu_;
    memory_ += aOther.memory_;
    accelerators_ += aOther.accelerators_;
    return *this;
  }

  /// Subtracts with a lower bound of zero: the runs on a worker may take more
  /// than its capacity.
  Room& operator-=(const Room& aOther)
  {
    cpu_ -= std::min(cpu_, aOther.cpu_);
    memory_ -= std::min(memory_, aOther.memory_);
    accelerators_ -= std::min(accelerators_, aOther.accelerators_);
    return *this;
  }

  [[nodiscard]] bool Fits(const Room& aNeed) const
  {
    return aNeed.cpu_ <= cpu_ && aNeed.memory_ <= memory_ &&
           aNeed.accelerators_ <= accelerators_;
  }
};

} // namespace verbenawell::jobs
