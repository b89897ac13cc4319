#include "verbenawell/jobs/health/HealthState.h"

#include <chrono>

namespace verbenawell::jobs {

namespace {

// A worker that fails all it starts gets one task a second.
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
