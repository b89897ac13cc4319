#pragma once

#include "verbenawell/core/Time.h"
#include "verbenawell/jobs/model/Ids.h"
#include "verbenawell/jobs/model/TaskId.h"

#include <map>

namespace verbenawell::jobs {

/// What a run was last told.
struct ToldShare
{
  Percent percent_;
  TimePoint changedAt_;
  TimePoint sentAt_;
};

/// At which share the filling runs of a worker work.
struct WorkerPace
{
  Percent percent_{ 100 };
  std::map<TaskId, ToldShare> told_;
};

struct PacingState
{
  std::map<WorkerId, WorkerPace> workers_;
};

} // namespace verbenawell::jobs
