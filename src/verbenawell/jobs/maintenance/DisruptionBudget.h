#pragma once

#include "verbenawell/jobs/model/Job.h"

namespace verbenawell::jobs {

struct WorkersState;

/// Tells whether the system may stop the run of this task: fewer of the other
/// tasks of its step are unavailable than the step's disruption budget allows,
/// or there is no budget. Tasks on an unresponsive worker count as unavailable.
bool
MayDisrupt(const Job& aJob,
           const TaskId& aTask,
           const WorkersState& aWorkers,
           TimePoint aNow);

} // namespace verbenawell::jobs
