#include "verbenawell/jobs/tasks/JobRecords.h"

#include "verbenawell/core/Overloaded.h"

#include <algorithm>
#include <utility>

namespace verbenawell::jobs {

namespace {

Job
RestoredJob(const JobStored& aStored, const Context& aContext)
{
  Job job;
  job.id_ = aStored.job_;
  job.queue_ = aStored.queue_;
  job.service_ = aStored.service_;
  job.policy_ = aStored.policy_;
  job.definition_ = aStored.definition_;
  const Duration age = std::max(WallTime::duration::zero(),
                                aContext.wallNow_ - aStored.acceptedAt_);
  job.acceptedAt_ = aContext.now_ - age;
  job.stored_ = true;
  if (!job.definition_.schedule_) {
    AddOccurrence(job);
  }
  return job;
}

void
RestoreTask(Job& aJob, const TaskProgress& aProgress, TimePoint aNow)
{
  while (aJob.nextOccurrence_ <= aProgress.occurrence_ &&
         aJob.nextOccurrence_ < aJob.OccurrenceCount()) {
    AddOccurrence(aJob);
  }
  const TaskId id{
    aJob.id_, aProgress.occurrence_, aProgress.step_, aProgress.index_
  };
  Task* task = aJob.Find(id);
  if (task == nullptr) {
    return;
  }
  task->lastRun_ = aProgress.lastRun_;
  task->failures_ = aProgress.failures_;
  task->checkpoint_ = aProgress.checkpoint_;
  aJob.started_ = true;
  if (aProgress.done_) {
    SetStatus(aJob, id, Done{});
  } else if (!aProgress.worker_.IsEmpty()) {
    SetStatus(aJob, id, Placed{ aProgress.worker_, aProgress.lastRun_, aNow });
  }
}

} // namespace

JobStored
StoredJob(const Job& aJob, const Context& aContext)
{
  return { aJob.id_,     aJob.queue_,       aJob.service_,
           aJob.policy_, aContext.wallNow_, aJob.definition_ };
}

ProgressStored
StoredProgress(const Job& aJob)
{
  ProgressStored progress{ aJob.id_, {} };
  for (const auto& [occurrence, tasks] : aJob.occurrences_) {
    for (std::uint32_t step = 0; step < tasks.steps_.size(); ++step) {
      const auto& items = tasks.steps_[step].tasks_;
      for (std::uint32_t index = 0; index < items.size(); ++index) {
        const Task& task = items[index];
        const bool done = std::holds_alternative<Done>(task.status_);
        const auto* placed = std::get_if<Placed>(&task.status_);
        if (task.lastRun_ > RunNumber{ 0 }) {
          progress.tasks_.push_back(
            { occurrence,
              StepIndex{ step },
              TaskIndex{ index },
              task.lastRun_,
              task.failures_,
              done,
              done ? std::string{} : task.checkpoint_,
              placed == nullptr ? WorkerId{} : placed->worker_ });
        }
      }
    }
  }
  return progress;
}

OutcomeStored
StoredOutcome(const Job& aJob, const Context& aContext)
{
  return { aJob.id_, aJob.queue_, aJob.outcome_, aContext.wallNow_ };
}

void
Restore(TasksState& aTasks,
        const std::vector<JournalRecord>& aRecords,
        const Context& aContext)
{
  // The records have no particular order: progress may precede its job.
  for (const JournalRecord& record : aRecords) {
    std::visit(
      Overloaded{
        [&](const JobStored& aStored) {
          aTasks.jobs_.emplace(aStored.job_, RestoredJob(aStored, aContext));
        },
        [&](const OutcomeStored& aStored) {
          aTasks.endedJobs_.emplace(
            aStored.job_,
            EndedJob{ aStored.queue_, aStored.outcome_, aContext.now_ });
        },
        [](const auto&) {},
      },
      record);
  }
  for (const JournalRecord& record : aRecords) {
    if (const auto* progress = std::get_if<ProgressStored>(&record)) {
      if (const auto found = aTasks.jobs_.find(progress->job_);
          found != aTasks.jobs_.end()) {
        for (const TaskProgress& task : progress->tasks_) {
          RestoreTask(found->second, task, aContext.now_);
        }
      }
    }
  }
  // The outcome and the deletion of the definition have separate keys, so a job
  // may have both a definition and an outcome.
  for (const auto& [job, ended] : aTasks.endedJobs_) {
    aTasks.jobs_.erase(job);
  }
}

} // namespace verbenawell::jobs
