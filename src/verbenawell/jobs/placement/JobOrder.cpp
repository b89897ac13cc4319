#include "verbenawell/jobs/placement/JobOrder.h"

#include "verbenawell/core/Saturating.h"

#include <algorithm>
#include <vector>

namespace verbenawell::jobs {

namespace {

// A late job has a small value until this multiple of its objective.
constexpr int kLateFactor = 3;

void
AddOccurrenceWork(const Job& aJob,
                  const OccurrenceTasks& aTasks,
                  RemainingWork& aWork)
{
  std::vector<Duration> ends;
  for (std::size_t index = 0; index < aTasks.steps_.size(); ++index) {
    const Step& step = aJob.definition_.steps_[index];
    Duration start{};
    for (const StepIndex earlier : step.dependencies_) {
      start = std::max(start, ends[earlier.Value()]);
    }
    const StepTasks& tasks = aTasks.steps_[index];
    const bool isDone = tasks.IsDone();
    ends.push_back(isDone ? start : start + step.estimatedRunTime_);
    aWork.criticalPath_ = std::max(aWork.criticalPath_, ends.back());
    const std::uint64_t left = tasks.tasks_.size() - tasks.done_.Value();
    const std::uint64_t cpuTime = SaturatingMultiply(
      step.resources_.cpu_.Value(),
      static_cast<std::uint64_t>(step.estimatedRunTime_.count()));
    aWork.cpu_ = SaturatingAdd(aWork.cpu_, SaturatingMultiply(left, cpuTime));
  }
}

} // namespace

RemainingWork
Remaining(const Job& aJob)
{
  RemainingWork work;
  for (const auto& [occurrence, tasks] : aJob.occurrences_) {
    AddOccurrenceWork(aJob, tasks, work);
  }
  return work;
}

JobRank
Rank(const Job& aJob, TimePoint aNow)
{
  if (aJob.IsLongRunning()) {
    return {
      Urgency::LongRunning, aJob.policy_.priority_, 0, aJob.acceptedAt_
    };
  }
  const RemainingWork work = Remaining(aJob);
  const Duration age = aNow + work.criticalPath_ - aJob.acceptedAt_;
  Urgency urgency = Urgency::Overdue;
  if (age <= aJob.policy_.objective_) {
    urgency = Urgency::InTime;
  } else if (age <= kLateFactor * aJob.policy_.objective_) {
    urgency = Urgency::Late;
  }
  return { urgency, aJob.policy_.priority_, work.cpu_, aJob.acceptedAt_ };
}

} // namespace verbenawell::jobs
