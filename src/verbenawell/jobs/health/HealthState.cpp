#include "verbenawell/jobs/health/HealthState.h"

#include <chrono>

namespace verbenawell::jobs {

namespace {

// An ejected worker gets a task as a probe this long after the last update of
// its statistics. A worker on which every run fails gets one task per second.
constexpr Duration kProbeInterval = std::chrono::seconds(1);
// A task with few attempts left is a probe only after this time. It is shorter
// than the 7 s that a task may wait where there is capacity for it.
constexpr Duration kUnverifiedAfter = std::chrono::seconds(3);

} // namespace

HealthStatus
HealthState::HealthOf(const WorkerId& aWorker, TimePoint aNow) const
{
  if (!ejectedWorkers_.contains(aWorker)) {
    return HealthStatus::Healthy;
  }
  const auto stats = workerStats_.find(aWorker);
  if (stats == workerStats_.end()) {
    return HealthStatus::Unverified;
  }
  const Duration age = aNow - stats->second.UpdatedAt();
  if (age >= kUnverifiedAfter) {
    return HealthStatus::Unverified;
  }
  return age >= kProbeInterval ? HealthStatus::Probing : HealthStatus::Ejected;
}

} // namespace verbenawell::jobs
