#pragma once

#include "verbenawell/jobs/model/Ids.h"
#include "verbenawell/jobs/model/Resources.h"
#include "verbenawell/jobs/model/TaskId.h"
#include "verbenawell/jobs/quotas/QuotaUsage.h"

#include <string>
#include <vector>

namespace verbenawell::jobs {

/// A task to start on a worker.
struct StartDecision
{
  TaskId task_;
  RunNumber run_;
  WorkerId worker_;
  /// Resources that the task takes on the worker.
  Resources resources_;
  bool isLongRunning_ = false;
  std::string ticket_;
  QuotaCharge quota_{};
};

struct StartsDecided
{
  std::vector<StartDecision> starts_;
};

/// A run to stop.
struct StopDecided
{
  WorkerId worker_;
  TaskId task_;
  RunNumber run_;
  std::string reason_;
};

} // namespace verbenawell::jobs
