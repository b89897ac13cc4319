#pragma once

#include "verbenawell/core/Time.h"
#include "verbenawell/jobs/model/Ids.h"
#include "verbenawell/jobs/model/TaskId.h"

#include <map>

namespace verbenawell::jobs {

/// The share that was last sent for a run.
struct SentShare
{
  Percent percent_;
  TimePoint changedAt_;
  TimePoint sentAt_;
};

/// The share of their full speed at which the best-effort runs of a worker
/// work.
struct WorkerThrottle
{
  Percent percent_{ 100 };
  std::map<TaskId, SentShare> sentShares_;
};

struct ThrottlingState
{
  std::map<WorkerId, WorkerThrottle> workers_;
};

} // namespace verbenawell::jobs
