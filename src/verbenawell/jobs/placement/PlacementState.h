#pragma once

namespace verbenawell::jobs {

struct PlacementState
{
  /// A pass is scheduled, so further changes need no other one.
  bool isPassScheduled_ = false;
};

} // namespace verbenawell::jobs
