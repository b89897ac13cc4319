#include "verbenawell/jobs/maintenance/DisruptionBudget.h"

#include "verbenawell/jobs/workers/WorkersState.h"

namespace verbenawell::jobs {

namespace {

using namespace std::chrono_literals;

// A run that a former owner has stopped is listed until it ends, at most 0.9 s
// later. The worker rejects stops of former owners from its first response on.
constexpr Duration kMaxStopTime = 1200ms;

bool
IsAvailable(const Task& aTask, const WorkersState& aWorkers, TimePoint aNow)
{
  const auto* placed = std::get_if<Placed>(&aTask.status_);
  if (placed == nullptr || aTask.isStopping_ || !aTask.HasStartedUp()) {
    return false;
  }
  const Worker* worker = aWorkers.Find(placed->worker_);
  return worker != nullptr && worker->hasResponded_ &&
         aNow - worker->respondingSince_ >= kMaxStopTime &&
         !IsUnresponsive(*worker, aNow);
}

} // namespace

bool
MayDisrupt(const Job& aJob,
           const TaskId& aTask,
           const WorkersState& aWorkers,
           TimePoint aNow)
{
  const Step& step = aJob.definition_.steps_[aTask.step_.Value()];
  if (step.disruptionBudget_ == TaskCount{}) {
    return true;
  }
  const auto& tasks =
    aJob.occurrences_.at(aTask.occurrence_).steps_[aTask.step_.Value()].tasks_;
  std::uint32_t unavailable = 0;
  for (std::uint32_t index = 0; index < tasks.size(); ++index) {
    if (TaskIndex{ index } != aTask.index_ &&
        !IsAvailable(tasks[index], aWorkers, aNow)) {
      ++unavailable;
    }
  }
  return unavailable < step.disruptionBudget_.Value();
}

} // namespace verbenawell::jobs
