#include "verbenawell/jobs/model/Job.h"

#include <algorithm>
#include <utility>

namespace verbenawell::jobs {

namespace {

// Limit of the tasks that a scheduled job has at a time, unless a single
// occurrence has more. Occurrences that are due wait until earlier ones are
// done. Each event of the job and each placement pass looks at all of them.
constexpr std::uint64_t kMaxScheduledTasks = 2000;

} // namespace

std::string_view
ToString(JobOutcome aOutcome)
{
  switch (aOutcome) {
    case JobOutcome::Open:
      return "open";
    case JobOutcome::Completed:
      return "completed";
    case JobOutcome::Failed:
      return "failed";
    case JobOutcome::Cancelled:
      return "cancelled";
  }
  return "open";
}

const Task*
Job::Find(const TaskId& aTask) const
{
  const auto found = occurrences_.find(aTask.occurrence_);
  if (found == occurrences_.end() ||
      aTask.step_.Value() >= found->second.steps_.size()) {
    return nullptr;
  }
  const StepTasks& step = found->second.steps_[aTask.step_.Value()];
  return aTask.index_.Value() < step.tasks_.size()
           ? &step.tasks_[aTask.index_.Value()]
           : nullptr;
}

Task*
Job::Find(const TaskId& aTask)
{
  return const_cast<Task*>(std::as_const(*this).Find(aTask));
}

bool
Job::IsLongRunning() const
{
  return std::ranges::any_of(definition_.steps_, &Step::longRunning_);
}

Duration
Job::ExpectedRunTime(StepIndex aStep) const
{
  return expectedRunTimes_.empty()
           ? definition_.steps_[aStep.Value()].estimatedRunTime_
           : expectedRunTimes_[aStep.Value()];
}

Occurrence
Job::OccurrenceCount() const
{
  return Occurrence{ definition_.schedule_
                       ? definition_.schedule_->repetitions_.Value()
                       : 1 };
}

bool
Job::IsReady(Occurrence aOccurrence, StepIndex aStep) const
{
  const auto& steps = occurrences_.at(aOccurrence).steps_;
  return std::ranges::all_of(
    definition_.steps_[aStep.Value()].dependencies_,
    [&](StepIndex aEarlier) { return steps[aEarlier.Value()].IsDone(); });
}

bool
Job::IsDone() const
{
  return nextOccurrence_ == OccurrenceCount() &&
         std::ranges::all_of(occurrences_, [](const auto& aEntry) {
           return std::ranges::all_of(aEntry.second.steps_, &StepTasks::IsDone);
         });
}

bool
Job::HasRuns() const
{
  const auto hasRun = [](const Task& aTask) {
    return aTask.lastRun_ > RunNumber{ 0 };
  };
  return started_ || doneOccurrences_ > Occurrence{} ||
         std::ranges::any_of(occurrences_, [&](const auto& aEntry) {
           return std::ranges::any_of(
             aEntry.second.steps_, [&](const StepTasks& aStep) {
               return std::ranges::any_of(aStep.tasks_, hasRun);
             });
         });
}

// Occurrences of a long-running job never end. Their number was limited when
// the job was accepted.
bool
Job::MayAddOccurrence(WallTime aNow) const
{
  if (!definition_.schedule_ || nextOccurrence_ >= OccurrenceCount() ||
      aNow < DueTime(*definition_.schedule_, nextOccurrence_)) {
    return false;
  }
  const std::uint64_t held = (nextOccurrence_ - doneOccurrences_).Value();
  return held == 0 || IsLongRunning() ||
         (held + 1) * TasksPerOccurrence(definition_) <= kMaxScheduledTasks;
}

void
AddOccurrence(Job& aJob)
{
  aJob.openTasks_.resize(aJob.definition_.steps_.size());
  OccurrenceTasks& tasks = aJob.occurrences_[aJob.nextOccurrence_];
  for (const Step& step : aJob.definition_.steps_) {
    aJob.openTasks_[tasks.steps_.size()] += step.count_.Value();
    StepTasks& added = tasks.steps_.emplace_back();
    added.tasks_.resize(step.count_.Value());
    added.waiting_ = step.count_;
  }
  ++aJob.nextOccurrence_;
}

bool
RemoveDoneOccurrences(Job& aJob)
{
  const Occurrence before = aJob.doneOccurrences_;
  while (!aJob.occurrences_.empty() &&
         std::ranges::all_of(aJob.occurrences_.begin()->second.steps_,
                             &StepTasks::IsDone)) {
    aJob.occurrences_.erase(aJob.occurrences_.begin());
    ++aJob.doneOccurrences_;
  }
  return aJob.doneOccurrences_ != before;
}

void
SetStatus(Job& aJob, const TaskId& aTask, TaskStatus aStatus)
{
  StepTasks& step =
    aJob.occurrences_.at(aTask.occurrence_).steps_.at(aTask.step_.Value());
  Task& task = step.tasks_.at(aTask.index_.Value());
  task.isStopping_ = false;
  TaskStatus& status = task.status_;
  if (std::holds_alternative<Waiting>(status)) {
    --step.waiting_;
  } else if (std::holds_alternative<Done>(status)) {
    --step.done_;
    ++aJob.openTasks_[aTask.step_.Value()];
  }
  status = std::move(aStatus);
  if (std::holds_alternative<Waiting>(status)) {
    ++step.waiting_;
  } else if (std::holds_alternative<Done>(status)) {
    ++step.done_;
    --aJob.openTasks_[aTask.step_.Value()];
  }
}

// Any member's checkpoint is valid for all of them. An empty one is replaced
// whenever it was reported: its member has just lost its progress.
void
ShareCheckpoint(StepTasks& aGang)
{
  const auto newest =
    std::ranges::max_element(aGang.tasks_, {}, [](const Task& aTask) {
      return std::pair{ !aTask.checkpoint_.empty(), aTask.checkpointAt_ };
    });
  if (newest == aGang.tasks_.end()) {
    return;
  }
  const std::string checkpoint = newest->checkpoint_;
  for (Task& task : aGang.tasks_) {
    task.checkpoint_ = checkpoint;
  }
}

std::vector<std::pair<TaskId, Placed>>
PlacedTasks(const Job& aJob)
{
  std::vector<std::pair<TaskId, Placed>> placed;
  for (const auto& [occurrence, tasks] : aJob.occurrences_) {
    for (std::uint32_t step = 0; step < tasks.steps_.size(); ++step) {
      const auto& items = tasks.steps_[step].tasks_;
      for (std::uint32_t index = 0; index < items.size(); ++index) {
        if (const auto* at = std::get_if<Placed>(&items[index].status_)) {
          placed.emplace_back(
            TaskId{
              aJob.id_, occurrence, StepIndex{ step }, TaskIndex{ index } },
            *at);
        }
      }
    }
  }
  return placed;
}

Duration
CriticalPathTime(const Job& aJob, Duration aPerStep)
{
  std::vector<Duration> ends;
  for (const Step& step : aJob.definition_.steps_) {
    Duration start{};
    for (const StepIndex earlier : step.dependencies_) {
      start = std::max(start, ends.at(earlier.Value()));
    }
    const StepIndex index{ static_cast<std::uint32_t>(ends.size()) };
    ends.push_back(start + aJob.ExpectedRunTime(index) + aPerStep);
  }
  return ends.empty() ? Duration{} : *std::ranges::max_element(ends);
}

} // namespace verbenawell::jobs
