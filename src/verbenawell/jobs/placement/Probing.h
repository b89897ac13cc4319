#pragma once

#include "verbenawell/core/Time.h"
#include "verbenawell/jobs/core/Effect.h"
#include "verbenawell/jobs/core/Views.h"
#include "verbenawell/jobs/health/HealthState.h"
#include "verbenawell/jobs/placement/PlacementEvents.h"

#include <vector>

namespace verbenawell::jobs {

struct Worker;

/// Returns whether a worker of this health may get tasks now.
bool
MayGetTasks(const Worker& aWorker,
            HealthStatus aHealth,
            const Views& aViews,
            TimePoint aNow);

/// Logs the starts on ejected workers.
void
LogProbes(const std::vector<StartDecision>& aStarts,
          const HealthState& aHealth,
          Effects& aEffects);

} // namespace verbenawell::jobs
