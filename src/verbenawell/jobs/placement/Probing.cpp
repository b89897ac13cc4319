#include "verbenawell/jobs/placement/Probing.h"

#include "verbenawell/jobs/maintenance/MaintenanceState.h"
#include "verbenawell/jobs/pools/PoolsState.h"
#include "verbenawell/jobs/tasks/TasksState.h"
#include "verbenawell/jobs/workers/WorkersState.h"

#include <algorithm>

namespace verbenawell::jobs {

namespace {

// A run may still show how healthy its worker is until it has ended. A
// long-running task that has started up has shown it, and does not end.
bool
HasOpenProbe(const Worker& aWorker, const TasksState& aTasks)
{
  return std::ranges::any_of(aWorker.runs_, [&](const auto& aRun) {
    const Job* job = aTasks.Find(aRun.first.job_);
    const Task* task = job == nullptr ? nullptr : job->Find(aRun.first);
    return !aRun.second.isLongRunning_ || task == nullptr ||
           !task->HasStartedUp();
  });
}

} // namespace

bool
MayGetTasks(const Worker& aWorker,
            HealthStatus aHealth,
            const Views& aViews,
            TimePoint aNow)
{
  const WorkerId& id = aWorker.entry_.worker_;
  const bool isHealthyEnough =
    aHealth == HealthStatus::Healthy ||
    (aHealth != HealthStatus::Ejected && !HasOpenProbe(aWorker, aViews.tasks_));
  return isHealthyEnough && IsSchedulable(aWorker, aNow) &&
         !aViews.maintenance_.draining_.contains(id) &&
         !aViews.pools_.draining_.contains(id);
}

// The probes of an ejected worker are at least a second apart, except for the
// members of a gang.
void
LogProbes(const std::vector<StartDecision>& aStarts,
          const HealthState& aHealth,
          Effects& aEffects)
{
  for (const StartDecision& start : aStarts) {
    if (aHealth.ejectedWorkers_.contains(start.worker_)) {
      aEffects.push_back(LogLine{ LogLevel::Info,
                                  "worker_probed",
                                  { { "worker", start.worker_.Value() },
                                    { "task", ToString(start.task_) } } });
    }
  }
}

} // namespace verbenawell::jobs
