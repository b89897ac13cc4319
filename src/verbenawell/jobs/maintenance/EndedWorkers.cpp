#include "verbenawell/jobs/maintenance/EndedWorkers.h"

namespace verbenawell::jobs {

bool
HasEndedWorker(const ListedVm& aBefore,
               const ListedVm& aNow,
               const WorkersState& aWorkers)
{
  if (aBefore.worker_.IsEmpty() || aBefore.worker_ == aNow.worker_) {
    return false;
  }
  if (aNow.worker_.IsEmpty()) {
    // Everything on the VM ended when the platform accepted the command.
    return aNow.state_ == VmState::Moving ||
           aNow.state_ == VmState::Maintenance;
  }
  // A delayed list may show a worker that has already ended.
  return !aWorkers.endedWorkers_.contains(aNow.worker_);
}

WorkerEndCause
EndCause(const ListedVm& aBefore, const ListedVm& aNow)
{
  const auto isCommanded = [](const ListedVm& aVm) {
    return aVm.state_ == VmState::Moving || aVm.state_ == VmState::Maintenance;
  };
  return isCommanded(aBefore) || isCommanded(aNow) ||
             aBefore.pool_ != aNow.pool_
           ? WorkerEndCause::Ordered
           : WorkerEndCause::Unknown;
}

} // namespace verbenawell::jobs
