#pragma once

#include "verbenawell/core/Time.h"
#include "verbenawell/jobs/callers/CallerEvents.h"
#include "verbenawell/jobs/model/JobDefinition.h"
#include "verbenawell/jobs/workers/WorkerEvents.h"

#include <cstdint>
#include <vector>

namespace verbenawell::jobs {

struct DaemonState;

/// Whether a gang that prefers one rack counts as able to run on several ones.
enum class RackPreference : std::uint8_t
{
  Kept,
  Ignored,
};

/// Returns whether workers could run all steps of a job if they were idle:
/// single tasks one after the other, gangs and long-running steps as a whole.
bool
CanRun(const JobDefinition& aDefinition,
       const std::vector<const WorkerEntry*>& aWorkers,
       RackPreference aRacks);

/// Finds waiting jobs that the listed workers of their own shard cannot run and
/// those of another shard can.
JobsStranded
FindStrandedJobs(DaemonState& aState,
                 ShardIndex aShard,
                 const WorkersRead& aRead,
                 TimePoint aNow);

} // namespace verbenawell::jobs
