#include "verbenawell/jobs/sharding/internal/PendingSums.h"

#include "verbenawell/jobs/sharding/DaemonState.h"

#include <variant>

namespace verbenawell::jobs {

bool
IsPartOfSum(DaemonState& aState, SendResponse& aResponse)
{
  const auto found = aState.pendingSums_.find(aResponse.key_);
  if (found == aState.pendingSums_.end()) {
    return false;
  }
  const auto* pending = std::get_if<PendingJobsReported>(&aResponse.response_);
  if (pending == nullptr) {
    aState.pendingSums_.erase(found);
    return false;
  }
  found->second.jobs_ += pending->jobs_;
  if (--found->second.missing_ > 0) {
    return true;
  }
  aResponse.response_ = PendingJobsReported{ found->second.jobs_ };
  aState.pendingSums_.erase(found);
  return false;
}

} // namespace verbenawell::jobs
