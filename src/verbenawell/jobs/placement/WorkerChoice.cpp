#include "verbenawell/jobs/placement/WorkerChoice.h"

#include "verbenawell/core/Overloaded.h"

#include <algorithm>
#include <set>
#include <tuple>
#include <utility>

namespace verbenawell::jobs {

namespace {

// Largest number of workers in one call to the advice service. The objective of
// a job includes, for each step, one call about this many workers.
constexpr std::size_t kMaxWorkersPerAdviceCall = 30;

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

const CachedTicket*
Find(const TicketRequired& aRequired, const WorkerId& aWorker)
{
  return aRequired.advice_->Find(aRequired.step_, aWorker, aRequired.now_);
}

bool
IsPermitted(const Permission& aPermission, const WorkerId& aWorker)
{
  return std::visit(Overloaded{ [](const AnyWorker&) { return true; },
                                [&](const TicketRequired& aRequired) {
                                  return Find(aRequired, aWorker) != nullptr;
                                } },
                    aPermission);
}

std::string
TicketOf(const Permission& aPermission, const WorkerId& aWorker)
{
  return std::visit(Overloaded{ [](const AnyWorker&) { return std::string{}; },
                                [&](const TicketRequired& aRequired) {
                                  return Find(aRequired, aWorker)->text_;
                                } },
                    aPermission);
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

} // namespace

void
ServiceCapacity::Add(const Worker& aWorker, HealthStatus aStatus)
{
  const auto longRunning = std::ranges::count_if(
    aWorker.runs_, [](const auto& aRun) { return aRun.second.isLongRunning_; });
  candidates_.push_back(
    { &aWorker,
      aWorker.Free(),
      static_cast<std::size_t>(longRunning),
      aStatus,
      std::nullopt,
      JobId{},
      0,
      false,
      false,
      aWorker.runs_.size() - static_cast<std::size_t>(longRunning),
      {} });
}

void
ServiceCapacity::Isolate(const WorkerId& aWorker,
                         const ResidentSuspect& aSuspect)
{
  for (Candidate& candidate : candidates_) {
    if (candidate.worker_->entry_.worker_ == aWorker) {
      candidate.isolatedFor_ = aSuspect.job_;
      ++candidate.suspects_;
      candidate.isExclusive_ |=
        aSuspect.age_ < kExclusiveTime || aSuspect.crashes_ > kFirstCrash;
    }
  }
}

void
ServiceCapacity::KeepFreeForSuspects(std::size_t aWorkers)
{
  const auto isolated = static_cast<std::size_t>(
    std::ranges::count_if(candidates_, [](const Candidate& aCandidate) {
      return !aCandidate.isolatedFor_.IsEmpty();
    }));
  const std::size_t limit = std::max<std::size_t>(1, candidates_.size() / 2);
  std::vector<Candidate*> byLoad;
  for (Candidate& candidate : candidates_) {
    if (candidate.isolatedFor_.IsEmpty() &&
        candidate.health_ == HealthStatus::Healthy) {
      byLoad.push_back(&candidate);
    }
  }
  std::ranges::stable_sort(byLoad, {}, [](const Candidate* aCandidate) {
    return std::pair{ aCandidate->longRunning_ > 0, aCandidate->shortRuns_ };
  });
  const std::size_t count =
    std::min({ aWorkers, byLoad.size(), limit - std::min(limit, isolated) });
  for (std::size_t index = 0; index < count; ++index) {
    byLoad[index]->isKeptFree_ = true;
  }
}

TaskId
ServiceCapacity::StepKey(TaskId aTask)
{
  aTask.index_ = TaskIndex{};
  return aTask;
}

bool
ServiceCapacity::MayRun(const Candidate& aCandidate,
                        const TaskId& aTask,
                        const Step& aStep,
                        const Resources& aResources)
{
  if (!aCandidate.free_.Fits(aResources) ||
      !HasLabel(aCandidate.worker_->entry_, aStep.requiredLabel_)) {
    return false;
  }
  if (aStep.maxPerWorker_ == TaskCount{}) {
    return true;
  }
  const TaskId key = StepKey(aTask);
  const auto chosen = aCandidate.chosenTasks_.find(key);
  return RunsOfStep(*aCandidate.worker_, key) +
           (chosen == aCandidate.chosenTasks_.end() ? 0 : chosen->second) <
         aStep.maxPerWorker_.Value();
}

// A task that has crashed several workers never shares one: the next crash may
// give up the tasks beside it too.
ServiceCapacity::Suitability
ServiceCapacity::IsolationOf(const Candidate& aCandidate,
                             const JobId& aJob,
                             const Task& aHistory)
{
  const Suitability shared =
    aCandidate.isExclusive_ ? Suitability::None : Suitability::LastResort;
  const bool isIsolated = !aCandidate.isolatedFor_.IsEmpty();
  if (!aHistory.IsSuspect()) {
    if (aCandidate.isKeptFree_) {
      return Suitability::None;
    }
    return isIsolated ? shared : Suitability::Suitable;
  }
  if (aCandidate.isolatedFor_ == aJob ||
      (!isIsolated && aCandidate.shortRuns_ == 0)) {
    return Suitability::Suitable;
  }
  return isIsolated && aHistory.crashes_ == kFirstCrash ? shared
                                                        : Suitability::None;
}

// An ejected worker may fail the task that it gets. So it gets a task that has
// failed before or a member of a gang, which may have no attempt left, only
// after a while without failures, and a long-running task, which would not
// leave it again, only where no other worker has room. Without the latter,
// such tasks would never run if all other workers are full.
ServiceCapacity::Suitability
ServiceCapacity::SuitabilityOf(const Candidate& aCandidate,
                               const TaskId& aTask,
                               const Step& aStep,
                               const Task& aHistory)
{
  if (aCandidate.probingGang_ && *aCandidate.probingGang_ != StepKey(aTask)) {
    return Suitability::None;
  }
  const bool losesAttempt =
    aStep.gang_ || (aHistory.failures_ > TaskCount{} && !aStep.longRunning_);
  switch (aCandidate.health_) {
    case HealthStatus::Healthy:
      return !aHistory.failedOn_.IsEmpty() &&
                 aHistory.failedOn_ == aCandidate.worker_->entry_.worker_
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
ServiceCapacity::LoadAfter(const Candidate& aCandidate,
                           const Resources& aResources)
{
  const Resources& capacity = aCandidate.worker_->entry_.capacity_;
  const Resources& free = aCandidate.free_;
  return std::max(
    { UsedShare(free.cpu_, aResources.cpu_, capacity.cpu_),
      UsedShare(free.memory_, aResources.memory_, capacity.memory_),
      UsedShare(free.accelerators_,
                aResources.accelerators_,
                capacity.accelerators_) });
}

void
ServiceCapacity::Reserve(Candidate& aCandidate,
                         const TaskId& aTask,
                         const Step& aStep,
                         const Resources& aResources,
                         const Task& aHistory)
{
  if (aHistory.IsSuspect()) {
    aCandidate.isolatedFor_ = aTask.job_;
    ++aCandidate.suspects_;
    aCandidate.isExclusive_ = true;
  }
  if (aCandidate.health_ != HealthStatus::Healthy && aStep.gang_) {
    aCandidate.probingGang_ = StepKey(aTask);
  } else if (aCandidate.health_ != HealthStatus::Healthy) {
    aCandidate.free_ = Resources{};
  }
  aCandidate.free_ -= aResources;

  ++(aStep.longRunning_ ? aCandidate.longRunning_ : aCandidate.shortRuns_);

  if (aStep.maxPerWorker_ != TaskCount{}) {
    ++aCandidate.chosenTasks_[StepKey(aTask)];
  }
}

// Tasks are placed on few workers, so that the other VMs of the pool become
// idle and can change their pool or be powered off. With the least loaded
// worker first, nearly all VMs of a pool run a task until the last one has
// ended. All tasks prefer workers with long-running ones, whose VMs can't move
// in any case. Among these, a long-running task takes the least loaded one, and
// the others take the most loaded one, which also leaves room for large tasks.
std::optional<Choice>
ServiceCapacity::ChooseWorkerOnRack(const TaskId& aTask,
                                    const Step& aStep,
                                    const Permission& aPermission,
                                    const RackId& aRack,
                                    Suitability aLeast,
                                    const Task& aHistory)
{
  const Resources resources = ResourcesOnWorker(aStep);
  const auto preference = [&](const Candidate& aCandidate,
                              Suitability aSuitability) {
    // Suspects that have to share workers spread over them, so that few crash
    // together.
    const std::size_t suspects =
      aHistory.IsSuspect() && aSuitability == Suitability::LastResort
        ? aCandidate.suspects_
        : 0;
    return std::tuple{ aSuitability,
                       -static_cast<std::ptrdiff_t>(suspects),
                       aCandidate.longRunning_,
                       aStep.longRunning_ ? -LoadAfter(aCandidate, resources)
                                          : LoadAfter(aCandidate, resources) };
  };
  Candidate* best = nullptr;
  std::tuple<Suitability, std::ptrdiff_t, std::size_t, double> bestPreference;
  for (Candidate& candidate : candidates_) {
    const Suitability suitability =
      std::min(SuitabilityOf(candidate, aTask, aStep, aHistory),
               IsolationOf(candidate, aTask.job_, aHistory));
    if (suitability < aLeast ||
        (!aRack.IsEmpty() && candidate.worker_->entry_.rack_ != aRack) ||
        !MayRun(candidate, aTask, aStep, resources) ||
        !IsPermitted(aPermission, candidate.worker_->entry_.worker_)) {
      continue;
    }
    const auto preferred = preference(candidate, suitability);
    if (best == nullptr || preferred > bestPreference) {
      best = &candidate;
      bestPreference = preferred;
    }
  }
  if (best == nullptr) {
    return std::nullopt;
  }
  Reserve(*best, aTask, aStep, resources, aHistory);
  const WorkerId& worker = best->worker_->entry_.worker_;
  return Choice{ worker, TicketOf(aPermission, worker) };
}

std::optional<Choice>
ServiceCapacity::ChooseWorker(const TaskId& aTask,
                              const Step& aStep,
                              const Permission& aPermission,
                              const Task& aHistory)
{
  if (!aStep.preferredRack_.IsEmpty()) {
    if (auto near = ChooseWorkerOnRack(aTask,
                                       aStep,
                                       aPermission,
                                       aStep.preferredRack_,
                                       Suitability::Suitable,
                                       aHistory);
        near) {
      return near;
    }
  }
  return ChooseWorkerOnRack(
    aTask, aStep, aPermission, RackId{}, Suitability::LastResort, aHistory);
}

std::optional<std::vector<Choice>>
ServiceCapacity::ChooseWorkersOnRack(const std::vector<TaskId>& aTasks,
                                     const Step& aStep,
                                     const Permission& aPermission,
                                     const RackId& aRack,
                                     Suitability aLeast,
                                     const Task& aHistory)
{
  const std::vector<Candidate> before = candidates_;
  std::vector<Choice> choices;
  for (const TaskId& task : aTasks) {
    auto choice =
      aRack.IsEmpty()
        ? ChooseWorker(task, aStep, aPermission, aHistory)
        : ChooseWorkerOnRack(task, aStep, aPermission, aRack, aLeast, aHistory);
    if (!choice) {
      candidates_ = before;
      return std::nullopt;
    }
    choices.push_back(std::move(*choice));
  }
  return choices;
}

std::optional<std::vector<Choice>>
ServiceCapacity::ChooseWorkers(const std::vector<TaskId>& aTasks,
                               const Step& aStep,
                               const Permission& aPermission,
                               const Task& aHistory)
{
  if (!aStep.sameRack_) {
    return ChooseWorkersOnRack(
      aTasks, aStep, aPermission, RackId{}, Suitability::LastResort, aHistory);
  }
  std::set<RackId> racks;
  for (const Candidate& candidate : candidates_) {
    racks.insert(candidate.worker_->entry_.rack_);
  }
  for (const Suitability least :
       { Suitability::Suitable, Suitability::LastResort }) {
    for (const RackId& rack : racks) {
      if (auto choices = ChooseWorkersOnRack(
            aTasks, aStep, aPermission, rack, least, aHistory);
          choices) {
        return choices;
      }
    }
  }
  return std::nullopt;
}

std::vector<WorkerId>
ServiceCapacity::WorkersWithoutAdvice(const TaskId& aTask,
                                      const Step& aStep,
                                      const TicketRequired& aRequired) const
{
  const Resources resources = ResourcesOnWorker(aStep);
  std::vector<WorkerId> workers;
  for (const Candidate& candidate : candidates_) {
    const WorkerId& worker = candidate.worker_->entry_.worker_;
    if (workers.size() < kMaxWorkersPerAdviceCall &&
        MayRun(candidate, aTask, aStep, resources) &&
        aRequired.advice_->NeedsAdvice(
          aRequired.step_, worker, aRequired.now_)) {
      workers.push_back(worker);
    }
  }
  return workers;
}

} // namespace verbenawell::jobs
