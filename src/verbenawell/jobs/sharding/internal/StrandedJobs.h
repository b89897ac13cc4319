#pragma once

#include "verbenawell/core/Time.h"
#include "verbenawell/jobs/callers/CallerEvents.h"
#include "verbenawell/jobs/model/JobDefinition.h"
#include "verbenawell/jobs/workers/WorkerEvents.h"

#include <vector>

namespace verbenawell::jobs {

struct DaemonState;

/// Returns whether workers could run all steps of a job if they were idle:
/// single tasks one after the other, gangs and long-running steps as a whole.
bool
CanRun(const JobDefinition& aDefinition,
       const std::vector<const WorkerEntry*>& aWorkers);

/// Finds waiting jobs that the listed workers of their own shard cannot run and
/// those of another shard can.
JobsStranded
FindStrandedJobs(DaemonState& aState,
                 ShardIndex aShard,
                 const WorkersRead& aRead,
                 TimePoint aNow);

} // namespace verbenawell::jobs
