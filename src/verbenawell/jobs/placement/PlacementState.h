#pragma once

#include "verbenawell/core/Time.h"
#include "verbenawell/jobs/placement/internal/RackWaits.h"

namespace verbenawell::jobs {

struct PlacementState
{
  /// A pass is scheduled, so further changes need no other one.
  bool isPassScheduled_ = false;
  /// When the shares of workspaces were last logged.
  TimePoint sharesReportedAt_;
  RackWaitTimes rackWaits_;
};

} // namespace verbenawell::jobs
