#include "verbenawell/jobs/health/HealthState.h"

#include <chrono>

namespace verbenawell::jobs {

namespace {

// An ejected worker gets a task as a probe this long after the last update of
// its statistics. A worker on which every run fails gets one task per second.
constexpr Duration kProbeInterval = std::chrono::seconds(1);

} // namespace

HealthStatus
HealthState::HealthOf(const WorkerId& aWorker, TimePoint aNow) const
{
  if (!ejectedWorkers_.contains(aWorker)) {
    return HealthStatus::Healthy;
  }
  const auto stats = workerStats_.find(aWorker);
  return stats == workerStats_.end() ||
             aNow - stats->second.UpdatedAt() >= kProbeInterval
           ? HealthStatus::Probing
           : HealthStatus::Ejected;
}

} // namespace verbenawell::jobs
