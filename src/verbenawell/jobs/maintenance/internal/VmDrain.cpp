#include "verbenawell/jobs/maintenance/internal/VmDrain.h"

#include "verbenawell/jobs/maintenance/DisruptionBudget.h"
#include "verbenawell/jobs/maintenance/MaintenanceState.h"
#include "verbenawell/jobs/tasks/TasksState.h"
#include "verbenawell/jobs/workers/WorkersState.h"

namespace verbenawell::jobs {

namespace {

using namespace std::chrono_literals;

// Tasks that still run after it end with the VM: the wave has a time limit.
constexpr Duration kMaxDrainTime = 5s;

TaskId
FirstTaskOfStep(TaskId aTask)
{
  aTask.index_ = TaskIndex{};
  return aTask;
}

} // namespace

// Long-running tasks never end by themselves, so they are stopped one at a time
// per step within their disruption budgets, and start again on other workers.
bool
VmDrain::Continue(const VmProgress& aProgress)
{
  const Worker* worker = views_.workers_.Find(aProgress.worker_);
  if (worker == nullptr) {
    return true;
  }
  const bool isOverdue =
    now_ - aProgress.since_ >= kMaxDrainTime && HasCurrentReport(*worker, now_);
  bool isDrained = true;
  for (const auto& [task, run] : worker->runs_) {
    const Job* job = views_.tasks_.Find(task.job_);
    // A worker may list a run of a job or a task that does not exist.
    if (job == nullptr || job->Find(task) == nullptr) {
      continue;
    }
    const Step& step = job->definition_.steps_[task.step_.Value()];
    if (!step.longRunning_) {
      isDrained = isDrained && isOverdue;
      continue;
    }
    isDrained = false;
    if (run.IsPresent() && consideredTasks_.insert(task).second &&
        MayDisrupt(*job, task, views_.workers_, now_) && !StopsStepOf(task)) {
      stoppedSteps_.insert(FirstTaskOfStep(task));
      effects_.push_back(Raise{ StopDecided{
        aProgress.worker_, task, run.run_, "maintenance of its VM" } });
    }
  }
  return isDrained;
}

// A stop raised while handling this event is not yet counted as unavailable.
bool
VmDrain::StopsStepOf(const TaskId& aTask) const
{
  return stoppedSteps_.contains(FirstTaskOfStep(aTask));
}

} // namespace verbenawell::jobs
