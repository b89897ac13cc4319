#include "verbenawell/jobs/tasks/JobRecords.h"

#include "verbenawell/core/Overloaded.h"
#include "verbenawell/jobs/tasks/internal/CrashSuspects.h"

#include <algorithm>
#include <cstdint>
#include <utility>

namespace verbenawell::jobs {

namespace {

// With a worker's id and a checkpoint of usual lengths, a task takes about 60
// bytes, so a record stays far below the store's limit of 262,144 bytes.
constexpr std::uint64_t kTasksPerPart = 200;

// Limits what a damaged record can make an owner hold. Records of earlier
// versions may hold as many tasks.
constexpr std::uint64_t kMaxRestoredTasks = 100'000;

/// Number of leading parts whose occurrences are all done.
ProgressPart
DoneParts(const Job& aJob)
{
  return ProgressPart{ aJob.doneOccurrences_.Value() *
                       TasksPerOccurrence(aJob.definition_) / kTasksPerPart };
}

/// Calls the function for each task of a part. The tasks of a job are numbered
/// by occurrence, step and index.
template<typename Function>
void
VisitTasks(const Job& aJob, ProgressPart aPart, Function aFunction)
{
  const std::uint64_t perOccurrence = TasksPerOccurrence(aJob.definition_);
  const std::uint64_t begin = aPart.Value() * kTasksPerPart;
  const std::uint64_t end = begin + kTasksPerPart;
  const Occurrence first{ static_cast<std::uint32_t>(begin / perOccurrence) };
  for (auto entry = aJob.occurrences_.lower_bound(first);
       entry != aJob.occurrences_.end();
       ++entry) {
    const auto& [occurrence, tasks] = *entry;
    std::uint64_t stepBegin = occurrence.Value() * perOccurrence;
    if (stepBegin >= end) {
      return;
    }
    for (std::uint32_t step = 0; step < tasks.steps_.size(); ++step) {
      const auto& items = tasks.steps_[step].tasks_;
      const std::uint64_t stepEnd = stepBegin + items.size();
      for (std::uint64_t number = std::max(begin, stepBegin);
           number < std::min(end, stepEnd);
           ++number) {
        const TaskIndex index{ static_cast<std::uint32_t>(number - stepBegin) };
        aFunction(TaskId{ aJob.id_, occurrence, StepIndex{ step }, index },
                  items[index.Value()]);
      }
      stepBegin = stepEnd;
    }
  }
}

/// Returns the parts of which a task was started.
std::vector<ProgressPart>
StartedParts(const Job& aJob)
{
  std::vector<ProgressPart> parts;
  const std::uint64_t tasks =
    aJob.nextOccurrence_.Value() * TasksPerOccurrence(aJob.definition_);
  for (std::uint64_t part = DoneParts(aJob).Value();
       part * kTasksPerPart < tasks;
       ++part) {
    bool isStarted = false;
    VisitTasks(
      aJob, ProgressPart{ part }, [&](const TaskId&, const Task& aTask) {
        isStarted = isStarted || aTask.lastRun_ > RunNumber{ 0 };
      });
    if (isStarted) {
      parts.emplace_back(part);
    }
  }
  return parts;
}

TaskProgress
ProgressOf(const TaskId& aId, const Task& aTask)
{
  const bool isDone = std::holds_alternative<Done>(aTask.status_);
  const auto* placed = std::get_if<Placed>(&aTask.status_);
  return { aId.occurrence_,
           aId.step_,
           aId.index_,
           aTask.lastRun_,
           aTask.failures_,
           isDone,
           isDone ? std::string{} : aTask.checkpoint_,
           placed == nullptr ? WorkerId{} : placed->worker_,
           aTask.crashes_ - aTask.unconfirmedCrashes_,
           placed == nullptr ? WorkerIncarnation{} : placed->incarnation_ };
}

} // namespace

Job
RestoredJob(const JobStored& aStored, const Context& aContext)
{
  Job job;
  job.id_ = aStored.job_;
  job.queue_ = aStored.queue_;
  job.service_ = aStored.service_;
  job.workspace_ = aStored.workspace_;
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

namespace {

// Starts are stored before they are sent, so a stored run number alone does not
// show that a worker has begun the run.
bool
ShowsARun(const TaskProgress& aProgress)
{
  return aProgress.done_ || aProgress.failures_ > TaskCount{} ||
         !aProgress.checkpoint_.empty();
}

void
RestoreTask(Job& aJob, const TaskProgress& aProgress, TimePoint aNow)
{
  const std::uint64_t tasks = TasksPerOccurrence(aJob.definition_);
  if (aProgress.occurrence_ < aJob.doneOccurrences_ ||
      (aProgress.occurrence_ - aJob.doneOccurrences_).Value() * tasks >=
        kMaxRestoredTasks) {
    return;
  }
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
  task->crashes_ = aProgress.crashes_.value_or(WorkerCount{});
  task->probation_ = kMinProbation;
  aJob.started_ = aJob.started_ || ShowsARun(aProgress);
  if (aProgress.done_) {
    SetStatus(aJob, id, Done{});
  } else if (!aProgress.worker_.IsEmpty()) {
    SetStatus(aJob,
              id,
              Placed{ aProgress.worker_,
                      aProgress.lastRun_,
                      aNow,
                      aProgress.incarnation_.value_or(WorkerIncarnation{}),
                      true });
  } else {
    SetStatus(aJob, id, Waiting{});
  }
}

// A successor repeats the request to the other shard.
HandOver
RestoredHandOver(const JobHandedOver& aStored)
{
  return { aStored.queue_,
           aStored.to_,
           aStored.isConfirmed_ ? HandOverPhase{ HandOverComplete{} }
                                : HandOverPhase{ HandOverOffered{} } };
}

void
RestoreDoneOccurrences(TasksState& aTasks,
                       const std::vector<JournalRecord>& aRecords)
{
  for (const JournalRecord& record : aRecords) {
    const auto* done = std::get_if<OccurrencesDone>(&record);
    if (done == nullptr) {
      continue;
    }
    if (const auto found = aTasks.jobs_.find(done->job_);
        found != aTasks.jobs_.end() && found->second.definition_.schedule_) {
      Job& job = found->second;
      job.doneOccurrences_ = std::min(done->count_, job.OccurrenceCount());
      job.nextOccurrence_ = job.doneOccurrences_;
      job.started_ = true;
    }
  }
}

/// Restores the progress that the records of earlier versions hold, or that
/// of the parts, which is newer.
void
RestoreProgress(TasksState& aTasks,
                const std::vector<JournalRecord>& aRecords,
                bool aInParts,
                TimePoint aNow)
{
  for (const JournalRecord& record : aRecords) {
    const auto* progress = std::get_if<ProgressStored>(&record);
    if (progress == nullptr || progress->part_.has_value() != aInParts) {
      continue;
    }
    if (const auto found = aTasks.jobs_.find(progress->job_);
        found != aTasks.jobs_.end()) {
      for (const TaskProgress& task : progress->tasks_) {
        RestoreTask(found->second, task, aNow);
      }
    }
  }
}

} // namespace

JobStored
StoredJob(const Job& aJob, const Context& aContext)
{
  return { aJob.id_,          aJob.queue_,      aJob.service_,  aJob.policy_,
           aContext.wallNow_, aJob.definition_, aJob.workspace_ };
}

ProgressPart
PartOf(const Job& aJob, const TaskId& aTask)
{
  const auto& steps = aJob.definition_.steps_;
  std::uint64_t number =
    aTask.occurrence_.Value() * TasksPerOccurrence(aJob.definition_) +
    aTask.index_.Value();
  for (std::uint32_t step = 0; step < aTask.step_.Value(); ++step) {
    number += steps[step].count_.Value();
  }
  return ProgressPart{ number / kTasksPerPart };
}

void
AppendProgress(const Job& aJob,
               const std::set<ProgressPart>& aParts,
               std::vector<JournalRecord>& aRecords)
{
  for (const ProgressPart part : aParts) {
    if (part < DoneParts(aJob)) {
      continue;
    }
    ProgressStored progress{ aJob.id_, {}, part };
    VisitTasks(aJob, part, [&](const TaskId& aId, const Task& aTask) {
      if (aTask.lastRun_ > RunNumber{ 0 }) {
        progress.tasks_.push_back(ProgressOf(aId, aTask));
      }
    });
    aRecords.emplace_back(std::move(progress));
  }
}

OutcomeStored
StoredOutcome(const Job& aJob, const Context& aContext)
{
  std::vector<RemainingRun> remaining;
  if (!aJob.workspace_.IsEmpty()) {
    for (const auto& [task, placed] : PlacedTasks(aJob)) {
      const Step& step = aJob.definition_.steps_[task.step_.Value()];
      remaining.push_back({ task.occurrence_,
                            task.step_,
                            task.index_,
                            placed.run_,
                            placed.worker_,
                            step.resources_ });
    }
  }
  return { aJob.id_,           aJob.queue_,
           aJob.outcome_,      aContext.wallNow_,
           StartedParts(aJob), aJob.doneOccurrences_ > Occurrence{},
           aJob.workspace_,    std::move(remaining) };
}

std::optional<OccurrencesDone>
RemoveDone(Job& aJob)
{
  const std::uint64_t before = DoneParts(aJob).Value();
  if (!aJob.definition_.schedule_ || !RemoveDoneOccurrences(aJob)) {
    return std::nullopt;
  }
  OccurrencesDone done{ aJob.id_, aJob.doneOccurrences_, {} };
  for (std::uint64_t part = before; part < DoneParts(aJob).Value(); ++part) {
    done.parts_.emplace_back(part);
  }
  return done;
}

void
Restore(TasksState& aTasks,
        const std::vector<JournalRecord>& aRecords,
        const Context& aContext)
{
  // The records have no particular order: progress may precede its job.
  for (const JournalRecord& record : aRecords) {
    std::visit(Overloaded{
                 [&](const JobStored& aStored) {
                   aTasks.jobs_.emplace(aStored.job_,
                                        RestoredJob(aStored, aContext));
                 },
                 [&](const OutcomeStored& aStored) {
                   aTasks.endedJobs_.emplace(aStored.job_,
                                             EndedJob{ aStored.queue_,
                                                       aStored.outcome_,
                                                       aContext.now_,
                                                       aStored.workspace_ });
                 },
                 [&](const JobHandedOver& aHandedOver) {
                   aTasks.handOvers_.emplace(aHandedOver.job_,
                                             RestoredHandOver(aHandedOver));
                 },
                 [](const auto&) {},
               },
               record);
  }
  for (const auto& [id, handOver] : aTasks.handOvers_) {
    if (const auto job = aTasks.jobs_.find(id); job != aTasks.jobs_.end()) {
      job->second.isHandedOver_ = true;
    }
  }
  RestoreDoneOccurrences(aTasks, aRecords);
  RestoreProgress(aTasks, aRecords, false, aContext.now_);
  RestoreProgress(aTasks, aRecords, true, aContext.now_);
  // The outcome and the deletion of the definition have separate keys, so a job
  // may have both a definition and an outcome.
  for (const auto& [job, ended] : aTasks.endedJobs_) {
    aTasks.jobs_.erase(job);
  }
  RestoreSuspects(aTasks);
}

} // namespace verbenawell::jobs
