#pragma once

#include "verbenawell/jobs/health/WorkerRecord.h"
#include "verbenawell/jobs/model/Ids.h"

#include <cstdint>
#include <map>
#include <set>

namespace verbenawell::jobs {

enum class Trust : std::uint8_t
{
  Full,
  /// May get one task, which shows whether the worker is healthy again.
  Trial,
  /// Gets no tasks.
  None,
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
  std::map<WorkerId, WorkerStats> records_;
  std::map<ServiceId, ServiceStats> services_;
  /// Workers whose runs fail or that are far slower than the others of their
  /// service. They get single tasks until these succeed.
  std::set<WorkerId> suspects_;

  [[nodiscard]] Trust TrustIn(const WorkerId& aWorker, TimePoint aNow) const;
};

} // namespace verbenawell::jobs
