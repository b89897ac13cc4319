#pragma once

#include "verbenawell/core/Units.h"

#include <algorithm>

namespace verbenawell::jobs {

/// Resources that a task takes or that a worker offers.
struct Resources
{
  MilliCores cpu_;
  Megabytes memory_;
  Accelerators accelerators_;

  bool operator==(const Resources&) const = default;

  Resources& operator+=(const Resources& aOther)
  {
    cpu_ += aOther.cpu_;
    memory_ += aOther.memory_;
    accelerators_ += aOther.accelerators_;
    return *this;
  }

  /// Subtracts with a lower bound of zero: the runs on a worker may take more
  /// than its capacity.
  Resources& operator-=(const Resources& aOther)
  {
    cpu_ -= std::min(cpu_, aOther.cpu_);
    memory_ -= std::min(memory_, aOther.memory_);
    accelerators_ -= std::min(accelerators_, aOther.accelerators_);
    return *this;
  }

  [[nodiscard]] bool Fits(const Resources& aRequired) const
  {
    return aRequired.cpu_ <= cpu_ && aRequired.memory_ <= memory_ &&
           aRequired.accelerators_ <= accelerators_;
  }
};

} // namespace verbenawell::jobs
