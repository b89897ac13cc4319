#include "verbenawell/jobs/health/HealthState.h"

#include <chrono>

namespace verbenawell::jobs {

namespace {

// A worker on which every run fails gets one task per second.
constexpr Duration kProbeInterval = std::chrono::seconds(1);

} // namespace

Trust
HealthState::TrustIn(const WorkerId& aWorker, TimePoint aNow) const
{
  if (!suspects_.contains(aWorker)) {
    return Trust::Full;
  }
  const auto stats = records_.find(aWorker);
  return stats == records_.end() ||
             aNow - stats->second.UpdatedAt() >= kProbeInterval
           ? Trust::Trial
           : Trust::None;
}

} // namespace verbenawell::jobs
