#pragma once

namespace verbenawell::jobs {

struct PlacementState
{
  /// A pass is due; further changes need no other one.
  bool isPassScheduled_ = false;
};

} // namespace verbenawell::jobs
