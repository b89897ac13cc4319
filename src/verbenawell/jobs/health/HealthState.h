#pragma once

#include "verbenawell/jobs/health/WorkerStats.h"
#include "verbenawell/jobs/model/Ids.h"

#include <cstdint>
#include <map>
#include <set>
#include <utility>

namespace verbenawell::jobs {

enum class HealthStatus : std::uint8_t
{
  Healthy,
  /// May get one task that loses little by a failure, which shows whether the
  /// worker is healthy again.
  Probing,
  /// May get one task of any kind: nothing recent shows that the worker is
  /// still unhealthy.
  Unverified,
  /// Gets no tasks.
  Ejected,
};

/// A worker that was ejected.
struct Ejection
{
  TimePoint since_;
  /// Runs of long-running tasks that have shown since then that the worker runs
  /// tasks.
  std::set<std::pair<TaskId, RunNumber>> provenRuns_;
};

/// Sums over the workers of one service, so that the cost of comparing a worker
/// with its peers does not depend on their number.
struct ServiceStats
{
  Speed speed_;
  double failedShareSum_ = 0;
  std::uint32_t workers_ = 0;
};

/// The health of the workers, derived from their runs (outlier detection).
/// Empty on daemons that are not the owner.
struct HealthState
{
  std::map<WorkerId, WorkerStats> workerStats_;
  std::map<ServiceId, ServiceStats> serviceStats_;
  /// Workers whose runs fail or that are far slower than the others of their
  /// service. They get single tasks until these succeed.
  std::map<WorkerId, Ejection> ejectedWorkers_;

  [[nodiscard]] HealthStatus HealthOf(const WorkerId& aWorker,
                                      TimePoint aNow) const;
};

} // namespace verbenawell::jobs
