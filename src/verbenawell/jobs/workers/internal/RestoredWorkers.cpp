#include "verbenawell/jobs/workers/internal/RestoredWorkers.h"

#include "verbenawell/jobs/tasks/TasksState.h"

#include <utility>
#include <variant>

namespace verbenawell::jobs {

namespace {

void
RestoreWorker(WorkersState& aState,
              const StoredWorker& aStored,
              TimePoint aNow,
              Effects& aEffects)
{
  Worker& worker = aState.workers_[aStored.worker_];
  worker.entry_.worker_ = aStored.worker_;
  worker.entry_.service_ = aStored.service_;
  worker.entry_.address_ = aStored.address_;
  worker.isStored_ = true;
  worker.listedAt_ = aNow;
  worker.lease_.expiresAt_ = LatestExpiry(aState.takenAt_, kLeaseDuration);
  aEffects.push_back(SetTimer{ LeaseRenewal{ aStored.worker_ }, {} });
}

/// A run that an earlier owner started.
Assignment
RestoredRun(RunNumber aRun, const Resources& aResources, TimePoint aTakenAt)
{
  Assignment run;
  run.run_ = aRun;
  run.resources_ = aResources;
  run.phase_ = Present{ aTakenAt, false };
  run.isStored_ = true;
  run.startedAt_ = aTakenAt;
  return run;
}

// The first report of each worker is requested under the new epoch, so a run
// that is missing from it cannot start any more.
void
RestoreRuns(WorkersState& aState, const Views& aViews, Effects& aEffects)
{
  for (const auto& [id, job] : aViews.tasks_.jobs_) {
    for (const auto& [task, placed] : PlacedTasks(job)) {
      const auto worker = aState.workers_.find(placed.worker_);
      if (worker == aState.workers_.end()) {
        aEffects.push_back(Raise{ RunLost{
          placed.worker_, task, placed.run_, LossCause::UnknownWorker } });
        continue;
      }
      const Step& step = job.definition_.steps_[task.step_.Value()];
      Assignment run =
        RestoredRun(placed.run_, ResourcesOnWorker(step), aState.takenAt_);
      run.isLongRunning_ = step.longRunning_;
      run.incarnation_ = placed.incarnation_;
      run.quota_ = { job.workspace_, step.resources_ };
      AddRun(aState, worker->second, task, std::move(run));
    }
  }
}

// Runs of a job that has ended may still be there. They count until the first
// report of their worker shows that they are gone, or its lease is over.
void
RestoreRunsOfEndedJob(WorkersState& aState, const OutcomeStored& aEnded)
{
  for (const RemainingRun& remaining : aEnded.remaining_) {
    const auto worker = aState.workers_.find(remaining.worker_);
    if (worker == aState.workers_.end()) {
      continue;
    }
    Assignment run =
      RestoredRun(remaining.run_, remaining.resources_, aState.takenAt_);
    run.quota_ = { aEnded.workspace_, remaining.resources_ };
    AddRun(
      aState,
      worker->second,
      { aEnded.job_, remaining.occurrence_, remaining.step_, remaining.index_ },
      std::move(run));
  }
}

} // namespace

void
AddRun(WorkersState& aState,
       Worker& aWorker,
       const TaskId& aTask,
       Assignment aRun)
{
  aWorker.used_ += aRun.resources_;
  aState.quotaUsage_.Add(aRun.quota_);
  aWorker.runs_.insert_or_assign(aTask, std::move(aRun));
}

void
RestoreWorkers(WorkersState& aState,
               const Views& aViews,
               const std::vector<JournalRecord>& aRecords,
               const Context& aContext,
               Effects& aEffects)
{
  for (const JournalRecord& record : aRecords) {
    if (const auto* stored = std::get_if<WorkersStored>(&record)) {
      for (const StoredWorker& worker : stored->workers_) {
        RestoreWorker(aState, worker, aContext.now_, aEffects);
      }
    }
  }
  RestoreRuns(aState, aViews, aEffects);
  for (const JournalRecord& record : aRecords) {
    if (const auto* ended = std::get_if<OutcomeStored>(&record)) {
      RestoreRunsOfEndedJob(aState, *ended);
    }
  }
}

} // namespace verbenawell::jobs
