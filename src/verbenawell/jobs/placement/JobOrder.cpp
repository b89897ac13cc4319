#include "verbenawell/jobs/placement/JobOrder.h"

#include "verbenawell/core/Saturating.h"

#include <algorithm>
#include <vector>

namespace verbenawell::jobs {

namespace {

// A late job has a small value until this multiple of its objective.
constexpr int kLateFactor = 3;

std::uint64_t
CpuTimeOfTask(const Job& aJob, std::size_t aStep)
{
  const StepIndex step{ static_cast<std::uint32_t>(aStep) };
  return SaturatingMultiply(
    aJob.definition_.steps_[aStep].resources_.cpu_.Value(),
    static_cast<std::uint64_t>(aJob.ExpectedRunTime(step).count()));
}

Duration
CriticalPathOf(const Job& aJob, const OccurrenceTasks& aTasks)
{
  Duration longest{};
  std::vector<Duration> ends;
  for (std::size_t index = 0; index < aTasks.steps_.size(); ++index) {
    const Step& step = aJob.definition_.steps_[index];
    Duration start{};
    for (const StepIndex earlier : step.dependencies_) {
      start = std::max(start, ends[earlier.Value()]);
    }
    const bool isDone = aTasks.steps_[index].IsDone();
    ends.push_back(isDone ? start
                          : start + aJob.ExpectedRunTime(StepIndex{
                                      static_cast<std::uint32_t>(index) }));
    longest = std::max(longest, ends.back());
  }
  return longest;
}

// The newest occurrences are the least advanced ones, and none has a longer
// path than one that has not begun.
Duration
RemainingCriticalPath(const Job& aJob)
{
  const Duration whole = CriticalPathTime(aJob);
  Duration longest{};
  for (auto entry = aJob.occurrences_.rbegin();
       entry != aJob.occurrences_.rend() && longest < whole;
       ++entry) {
    longest = std::max(longest, CriticalPathOf(aJob, entry->second));
  }
  return longest;
}

} // namespace

std::uint64_t
RemainingCpuTime(const Job& aJob)
{
  std::uint64_t sum = 0;
  for (std::size_t index = 0; index < aJob.openTasks_.size(); ++index) {
    sum = SaturatingAdd(
      sum,
      SaturatingMultiply(aJob.openTasks_[index], CpuTimeOfTask(aJob, index)));
  }
  return sum;
}

std::uint64_t
CpuTimeOfOccurrence(const Job& aJob)
{
  const auto& steps = aJob.definition_.steps_;
  std::uint64_t sum = 0;
  for (std::size_t index = 0; index < steps.size(); ++index) {
    sum = SaturatingAdd(sum,
                        SaturatingMultiply(steps[index].count_.Value(),
                                           CpuTimeOfTask(aJob, index)));
  }
  return sum;
}

JobRank
Rank(const Job& aJob, TimePoint aNow)
{
  if (aJob.IsLongRunning()) {
    return {
      Urgency::LongRunning, aJob.policy_.priority_, 0, aJob.acceptedAt_
    };
  }
  const Duration age = aNow + RemainingCriticalPath(aJob) - aJob.acceptedAt_;
  Urgency urgency = Urgency::Overdue;
  if (age <= aJob.policy_.objective_) {
    urgency = Urgency::InTime;
  } else if (age <= kLateFactor * aJob.policy_.objective_) {
    urgency = Urgency::Late;
  }
  return {
    urgency, aJob.policy_.priority_, RemainingCpuTime(aJob), aJob.acceptedAt_
  };
}

} // namespace verbenawell::jobs
