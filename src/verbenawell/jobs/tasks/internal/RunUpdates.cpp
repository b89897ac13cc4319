#include "verbenawell/jobs/tasks/internal/RunUpdates.h"

#include "verbenawell/jobs/tasks/JobRecords.h"
#include "verbenawell/jobs/tasks/TasksState.h"
#include "verbenawell/jobs/tasks/internal/CrashSuspects.h"
#include "verbenawell/jobs/tasks/internal/JobOutcomes.h"

#include <algorithm>
#include <map>
#include <set>
#include <utility>

namespace verbenawell::jobs {

namespace {

bool
IsPlacedAt(const Task& aTask, const WorkerId& aWorker, RunNumber aRun)
{
  const auto* placed = std::get_if<Placed>(&aTask.status_);
  return placed != nullptr && placed->worker_ == aWorker &&
         placed->run_ == aRun;
}

void
StopOtherRun(const Task& aTask, const TaskId& aId, Effects& aEffects)
{
  if (const auto* placed = std::get_if<Placed>(&aTask.status_)) {
    aEffects.push_back(
      Raise{ StopDecided{ placed->worker_,
                          aId,
                          placed->run_,
                          "another run of the task is done" } });
  }
}

class RunEndHandler
{
public:
  RunEndHandler(TasksState& aState,
                const RunsEnded& aEnded,
                const Context& aContext,
                Effects& aEffects)
    : state_(aState)
    , ended_(aEnded)
    , context_(aContext)
    , effects_(aEffects)
  {
  }

  void Apply()
  {
    for (const ListedEnd& end : ended_.ended_) {
      effects_.push_back(Count{ end.kind_ });
      const auto found = state_.jobs_.find(end.task_.job_);
      if (found == state_.jobs_.end() ||
          found->second.outcome_ != JobOutcome::Open) {
        continue;
      }
      if (Task* task = found->second.Find(end.task_); task != nullptr) {
        ApplyEnd(found->second, *task, end);
        touched_.insert(end.task_.job_);
      }
    }
    JournalWriteRequested write{
      {}, EndsPersisted{ ended_.worker_, ended_.incarnation_, ended_.through_ }
    };
    for (const auto& [id, parts] : changed_) {
      if (Job& job = state_.jobs_.at(id); job.outcome_ == JobOutcome::Open) {
        if (auto done = RemoveDone(job); done) {
          ForgetSuspects(state_, id, job.doneOccurrences_);
          write.records_.emplace_back(std::move(*done));
        }
        AppendProgress(job, parts, write.records_);
      }
    }
    for (const JobId& id : touched_) {
      state_.openJobs_.Update(state_.jobs_.at(id));
    }
    effects_.push_back(Raise{ std::move(write) });
  }

private:
  void ApplyEnd(Job& aJob, Task& aTask, const ListedEnd& aEnd)
  {
    aJob.started_ = true;
    aTask.lastRun_ = std::max(aTask.lastRun_, aEnd.run_);
    if (aEnd.kind_ == EndKind::Done) {
      const Step& step = aJob.definition_.steps_[aEnd.task_.step_.Value()];
      if (step.longRunning_) {
        Requeue(aJob, aTask, aEnd);
        return;
      }
      CompleteTask(aJob, aTask, aEnd);
      return;
    }
    if (!IsPlacedAt(aTask, ended_.worker_, aEnd.run_)) {
      return;
    }
    if (aEnd.kind_ == EndKind::Failed) {
      ++aTask.failures_;
      aTask.failedOn_ = ended_.worker_;
      ClearSuspect(state_, aEnd.task_, aTask);
      MarkChanged(aJob, aEnd.task_);
    }
    Requeue(aJob, aTask, aEnd);
    const Step& step = aJob.definition_.steps_[aEnd.task_.step_.Value()];
    if (!step.longRunning_ && aTask.failures_ >= aJob.policy_.maxAttempts_) {
      DecideOutcome(state_, aJob, JobOutcome::Failed, context_, effects_);
    }
  }

  void Requeue(Job& aJob, Task& aTask, const ListedEnd& aEnd)
  {
    if (!IsPlacedAt(aTask, ended_.worker_, aEnd.run_)) {
      return;
    }
    if (!aEnd.checkpoint_.empty()) {
      aTask.checkpoint_ = aEnd.checkpoint_;
      aTask.checkpointAt_ = context_.now_;
      MarkChanged(aJob, aEnd.task_);
    }
    aTask.percent_ = Percent{ 0 };
    SetStatus(aJob, aEnd.task_, Waiting{});
  }

  void CompleteTask(Job& aJob, Task& aTask, const ListedEnd& aEnd)
  {
    if (std::holds_alternative<Done>(aTask.status_)) {
      return;
    }
    if (!IsPlacedAt(aTask, ended_.worker_, aEnd.run_)) {
      StopOtherRun(aTask, aEnd.task_, effects_);
    }
    SetStatus(aJob, aEnd.task_, Done{});
    ClearSuspect(state_, aEnd.task_, aTask);
    MarkChanged(aJob, aEnd.task_);
    if (aJob.definition_.steps_[aEnd.task_.step_.Value()].gang_) {
      CompleteGang(aJob, aEnd.task_);
    }
    if (aJob.IsDone()) {
      DecideOutcome(state_, aJob, JobOutcome::Completed, context_, effects_);
    }
  }

  // The members of a gang end together, so one listed end completes them all.
  void CompleteGang(Job& aJob, const TaskId& aMember)
  {
    const Step& step = aJob.definition_.steps_[aMember.step_.Value()];
    for (std::uint32_t index = 0; index < step.count_.Value(); ++index) {
      TaskId member = aMember;
      member.index_ = TaskIndex{ index };
      SetStatus(aJob, member, Done{});
      MarkChanged(aJob, member);
    }
  }

  void MarkChanged(const Job& aJob, const TaskId& aTask)
  {
    changed_[aJob.id_].insert(PartOf(aJob, aTask));
  }

  TasksState& state_;
  const RunsEnded& ended_;
  const Context& context_;
  Effects& effects_;
  /// Jobs of which a run has ended.
  std::set<JobId> touched_;
  /// Parts of the jobs' progress that have to be stored.
  std::map<JobId, std::set<ProgressPart>> changed_;
};

} // namespace

void
ApplyReportedRuns(TasksState& aState,
                  const RunsReported& aReported,
                  const Context& aContext,
                  Effects& aEffects)
{
  for (const ListedRun& run : aReported.running_) {
    const auto found = aState.jobs_.find(run.task_.job_);
    Job* job = found == aState.jobs_.end() ? nullptr : &found->second;
    Task* task = job == nullptr ? nullptr : job->Find(run.task_);
    if (task != nullptr && IsPlacedAt(*task, aReported.worker_, run.run_)) {
      if (!std::exchange(job->started_, true)) {
        aState.openJobs_.Update(*job);
      }
      task->percent_ = run.percent_;
      ClearAfterProbation(aState, run.task_, *task, aContext.now_);
      if (!run.checkpoint_.empty()) {
        task->checkpoint_ = run.checkpoint_;
        task->checkpointAt_ = aContext.now_;
      }
      continue;
    }
    if (task != nullptr) {
      // Once the run is stopped, its worker rejects lower run numbers.
      task->lastRun_ = std::max(task->lastRun_, run.run_);
    }
    aEffects.push_back(Count{ Counter::RunsUnknown });
    aEffects.push_back(Raise{ StopDecided{
      aReported.worker_, run.task_, run.run_, "no task expects this run" } });
  }
}

void
ApplyEnds(TasksState& aState,
          const RunsEnded& aEnded,
          const Context& aContext,
          Effects& aEffects)
{
  RunEndHandler handler{ aState, aEnded, aContext, aEffects };
  handler.Apply();
}

void
ApplyStopDecision(TasksState& aState, const StopDecided& aStop)
{
  const auto found = aState.jobs_.find(aStop.task_.job_);
  if (found == aState.jobs_.end()) {
    return;
  }
  if (Task* task = found->second.Find(aStop.task_);
      task != nullptr && IsPlacedAt(*task, aStop.worker_, aStop.run_)) {
    task->isStopping_ = true;
  }
}

void
ApplyAcceptedStart(TasksState& aState, const StartCommandCompleted& aCompletion)
{
  const auto found = aState.jobs_.find(aCompletion.task_.job_);
  if (found != aState.jobs_.end() &&
      std::holds_alternative<StartAccepted>(aCompletion.result_) &&
      !std::exchange(found->second.started_, true)) {
    aState.openJobs_.Update(found->second);
  }
}

void
ApplyLostRun(TasksState& aState, const RunLost& aLost, Effects& aEffects)
{
  const auto found = aState.jobs_.find(aLost.task_.job_);
  if (found == aState.jobs_.end()) {
    return;
  }
  Task* task = found->second.Find(aLost.task_);
  if (task == nullptr || !IsPlacedAt(*task, aLost.worker_, aLost.run_)) {
    return;
  }
  task->percent_ = Percent{ 0 };
  SetStatus(found->second, aLost.task_, Waiting{});
  aState.openJobs_.Update(found->second);
  // A successor that took the run for present would wait for its lease again,
  // so the loss is written to the journal. No command follows the write. After
  // an outcome nothing is written, since the progress would replace it.
  if (found->second.outcome_ == JobOutcome::Open) {
    JournalWriteRequested write{ {}, StartsPersisted{} };
    AppendProgress(
      found->second, { PartOf(found->second, aLost.task_) }, write.records_);
    aEffects.push_back(Raise{ std::move(write) });
  }
  aEffects.push_back(Count{ Counter::RunsLost });
  aEffects.push_back(Raise{ CapacityChanged{} });
}

} // namespace verbenawell::jobs
