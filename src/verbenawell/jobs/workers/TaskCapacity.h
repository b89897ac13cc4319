#pragma once

#include "verbenawell/jobs/model/JobDefinition.h"
#include "verbenawell/jobs/model/Resources.h"
#include "verbenawell/jobs/workers/WorkerEvents.h"

#include <cstdint>

namespace verbenawell::jobs {

/// Number of tasks of a step that fit into these resources of a worker at the
/// same time, up to a limit.
std::uint64_t
CountTasksThatFit(const WorkerEntry& aWorker,
                  const Resources& aRoom,
                  const Step& aStep,
                  std::uint64_t aLimit);

} // namespace verbenawell::jobs
