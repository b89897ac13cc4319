#include "verbenawell/jobs/placement/internal/Candidate.h"

#include "verbenawell/jobs/workers/TaskCapacity.h"

#include <algorithm>
#include <chrono>

namespace verbenawell::jobs {

namespace {

// A suspect has its worker to itself for this long. Most tasks that crash
// workers do so at once. A long-running suspect keeps its state for 10 s, and
// tasks that wait until then are late where a crash leaves more suspects than
// there are workers.
constexpr Duration kExclusiveTime = std::chrono::seconds(2);
constexpr WorkerCount kFirstCrash{ 1 };

/// Share of a capacity that is in use once the need is met, from 0 to 1.
template<typename Quantity>
double
UsedShare(Quantity aFree, Quantity aRequired, Quantity aCapacity)
{
  if (aCapacity == Quantity{}) {
    return 0;
  }
  return 1 - static_cast<double>(aFree.Value() - aRequired.Value()) /
               static_cast<double>(aCapacity.Value());
}

std::uint32_t
RunsOfStep(const Worker& aWorker, const TaskId& aFirst)
{
  std::uint32_t count = 0;
  for (auto run = aWorker.runs_.lower_bound(aFirst);
       run != aWorker.runs_.end() && run->first.job_ == aFirst.job_ &&
       run->first.occurrence_ == aFirst.occurrence_ &&
       run->first.step_ == aFirst.step_;
       ++run) {
    ++count;
  }
  return count;
}

TaskId
StepKey(TaskId aTask)
{
  aTask.index_ = TaskIndex{};
  return aTask;
}

} // namespace

Candidate::Candidate(const Worker& aWorker, HealthStatus aHealth)
  : worker_(&aWorker)
  , free_(aWorker.Free())
  , longRunning_(static_cast<std::size_t>(std::ranges::count_if(
      aWorker.runs_,
      [](const auto& aRun) { return aRun.second.isLongRunning_; })))
  , shortRuns_(aWorker.runs_.size() - longRunning_)
  , health_(aHealth)
{
}

void
Candidate::Isolate(const ResidentSuspect& aSuspect)
{
  isolatedFor_ = aSuspect.job_;
  ++suspects_;
  isExclusive_ |=
    aSuspect.age_ < kExclusiveTime || aSuspect.crashes_ > kFirstCrash;
}

bool
Candidate::HasRoomFor(const TaskId& aTask,
                      const Step& aStep,
                      const Resources& aResources) const
{
  if (!free_.Fits(aResources) ||
      !HasLabel(worker_->entry_, aStep.requiredLabel_)) {
    return false;
  }
  if (aStep.maxPerWorker_ == TaskCount{}) {
    return true;
  }
  const TaskId key = StepKey(aTask);
  const auto chosen = chosenTasks_.find(key);
  return RunsOfStep(*worker_, key) +
           (chosen == chosenTasks_.end() ? 0 : chosen->second) <
         aStep.maxPerWorker_.Value();
}

std::uint64_t
Candidate::TasksBesideLongRunning(const Step& aStep, std::uint64_t aLimit) const
{
  Resources room = Entry().capacity_;
  for (const auto& [task, run] : worker_->runs_) {
    if (run.isLongRunning_) {
      room -= run.resources_;
    }
  }
  return CountTasksThatFit(Entry(), room, aStep, aLimit);
}

Suitability
Candidate::SuitabilityFor(const TaskId& aTask,
                          const Step& aStep,
                          const Task& aHistory) const
{
  return std::min(HealthFor(aTask, aStep, aHistory),
                  IsolationFor(aTask.job_, aHistory));
}

// Suspects run apart from the tasks of other jobs, so that a crash shows which
// job caused it, and takes few tasks along. A suspect may run beside
// long-running tasks, which leave few workers free.
// A task that has crashed several workers never shares one: the next crash may
// give up the tasks beside it too.
Suitability
Candidate::IsolationFor(const JobId& aJob, const Task& aHistory) const
{
  const Suitability shared =
    isExclusive_ ? Suitability::None : Suitability::LastResort;
  if (!aHistory.IsSuspect()) {
    if (isKeptFree_) {
      return Suitability::None;
    }
    return IsIsolated() ? shared : Suitability::Suitable;
  }
  if (isolatedFor_ == aJob || (!IsIsolated() && shortRuns_ == 0)) {
    return Suitability::Suitable;
  }
  return IsIsolated() && aHistory.crashes_ == kFirstCrash ? shared
                                                          : Suitability::None;
}

// An ejected worker may fail the task that it gets. So it gets a task that has
// failed before or a member of a gang, which may have no attempt left, only
// after a while without failures, and a long-running task, which would not
// leave it again, only where no other worker has room. Without the latter,
// such tasks would never run if all other workers are full.
Suitability
Candidate::HealthFor(const TaskId& aTask,
                     const Step& aStep,
                     const Task& aHistory) const
{
  if (probingGang_ && *probingGang_ != StepKey(aTask)) {
    return Suitability::None;
  }
  const bool losesAttempt =
    aStep.gang_ || (aHistory.failures_ > TaskCount{} && !aStep.longRunning_);
  switch (health_) {
    case HealthStatus::Healthy:
      return !aHistory.failedOn_.IsEmpty() &&
                 aHistory.failedOn_ == worker_->entry_.worker_
               ? Suitability::LastResort
               : Suitability::Suitable;
    case HealthStatus::Probing:
      if (losesAttempt) {
        return Suitability::None;
      }
      [[fallthrough]];
    case HealthStatus::Unverified:
      return losesAttempt || aStep.longRunning_ ? Suitability::LastResort
                                                : Suitability::Suitable;
    case HealthStatus::Ejected:
      break;
  }
  return Suitability::None;
}

double
Candidate::LoadWith(const Resources& aResources) const
{
  const Resources& capacity = worker_->entry_.capacity_;
  return std::max(
    { UsedShare(free_.cpu_, aResources.cpu_, capacity.cpu_),
      UsedShare(free_.memory_, aResources.memory_, capacity.memory_),
      UsedShare(free_.accelerators_,
                aResources.accelerators_,
                capacity.accelerators_) });
}

void
Candidate::Reserve(const TaskId& aTask,
                   const Step& aStep,
                   const Resources& aResources,
                   const Task& aHistory)
{
  if (aHistory.IsSuspect()) {
    isolatedFor_ = aTask.job_;
    ++suspects_;
    isExclusive_ = true;
  }
  if (health_ != HealthStatus::Healthy && aStep.gang_) {
    probingGang_ = StepKey(aTask);
  } else if (health_ != HealthStatus::Healthy) {
    free_ = Resources{};
  }
  free_ -= aResources;

  ++(aStep.longRunning_ ? longRunning_ : shortRuns_);

  if (aStep.maxPerWorker_ != TaskCount{}) {
    ++chosenTasks_[StepKey(aTask)];
  }
}

} // namespace verbenawell::jobs
