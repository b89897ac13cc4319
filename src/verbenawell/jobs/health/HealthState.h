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
  /// One task shows whether it is sound again.
  Trial,
  None,
};

/// The records of one service's workers added up, so that judging a worker
/// costs the same however many there are.
struct ServiceStats
{
  Speed speed_;
  double failedShareSum_ = 0;
  std::uint32_t workers_ = 0;
};

/// What outcomes tell of the workers. Empty on daemons that do not own.
struct HealthState
{
  std::map<WorkerId, WorkerStats> records_;
  std::map<ServiceId, ServiceStats> services_;
  /// Workers that fail or are far slower than the others of their service;
  /// they get single tasks until these go well.
  std::set<WorkerId> suspects_;

  [[nodiscard]] Trust TrustIn(const WorkerId& aWorker, TimePoint aNow) const;
};

} // namespace verbenawell::jobs
