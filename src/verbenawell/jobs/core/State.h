#pragma once

#include "verbenawell/jobs/advice/AdviceState.h"
#include "verbenawell/jobs/callers/CallersState.h"
#include "verbenawell/jobs/configuration/ConfigurationState.h"
#include "verbenawell/jobs/core/Views.h"
#include "verbenawell/jobs/health/HealthState.h"
#include "verbenawell/jobs/journal/JournalState.h"
#include "verbenawell/jobs/maintenance/MaintenanceState.h"
#include "verbenawell/jobs/ownership/OwnershipState.h"
#include "verbenawell/jobs/placement/PlacementState.h"
#include "verbenawell/jobs/pools/PoolsState.h"
#include "verbenawell/jobs/quotas/QuotasState.h"
#include "verbenawell/jobs/tasks/TasksState.h"
#include "verbenawell/jobs/throttling/ThrottlingState.h"
#include "verbenawell/jobs/workers/WorkersState.h"

namespace verbenawell::jobs {

/// The state of one shard in a daemon. Each member is changed only by the
/// reducer of its module.
struct State
{
  OwnershipState ownership_;
  JournalState journal_;
  ConfigurationState configuration_;
  CallersState callers_;
  WorkersState workers_;
  TasksState tasks_;
  AdviceState advice_;
  HealthState health_;
  PlacementState placement_;
  ThrottlingState throttling_;
  MaintenanceState maintenance_;
  PoolsState pools_;
  QuotasState quotas_;

  [[nodiscard]] Views View() const
  {
    return { ownership_, journal_, configuration_, callers_, workers_, tasks_,
             advice_,    health_,  maintenance_,   pools_,   quotas_ };
  }
};

} // namespace verbenawell::jobs
