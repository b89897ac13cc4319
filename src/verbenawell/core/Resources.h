#pragma once

#include "verbenawell/core/Units.h"

namespace verbenawell {

/// Processors, memory and accelerators that a job needs or a VM has.
struct Resources
{
  Cores cores_;
  Megabytes memory_;
  Accelerators accelerators_;

  bool operator==(const Resources&) const = default;
};

/// Tells whether each part of `aNeed` is at most the same part of `aSize`.
constexpr bool
FitsWithin(const Resources& aNeed, const Resources& aSize)
{
  return aNeed.cores_ <= aSize.cores_ && aNeed.memory_ <= aSize.memory_ &&
         aNeed.accelerators_ <= aSize.accelerators_;
}

} // namespace verbenawell
