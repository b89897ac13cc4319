#include "verbenawell/jobs/placement/WorkerChoice.h"

#include "verbenawell/core/Overloaded.h"

#include <algorithm>
#include <set>
#include <utility>

namespace verbenawell::jobs {

namespace {

// A call about this many workers is what the users' objective allows a step.
constexpr std::size_t kMostAsked = 30;

/// Part of a capacity that is in use.
template<typename Quantity>
double
UsedShare(Quantity aFree, Quantity aNeed, Quantity aCapacity)
{
  if (aCapacity == Quantity{}) {
    return 0;
  }
  return 1 - static_cast<double>(aFree.Value() - aNeed.Value()) /
               static_cast<double>(aCapacity.Value());
}

const HeldTicket*
Find(const TicketHolders& aHolders, const WorkerId& aWorker)
{
  return aHolders.advice_->Find(aHolders.step_, aWorker, aHolders.now_);
}

bool
IsPermitted(const Permission& aPermission, const WorkerId& aWorker)
{
  return std::visit(Overloaded{ [](const AnyWorker&) { return true; },
                                [&](const TicketHolders& aHolders) {
                                  return Find(aHolders, aWorker) != nullptr;
                                } },
                    aPermission);
}

std::string
TicketOf(const Permission& aPermission, const WorkerId& aWorker)
{
  return std::visit(Overloaded{ [](const AnyWorker&) { return std::string{}; },
                                [&](const TicketHolders& aHolders) {
                                  return Find(aHolders, aWorker)->text_;
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
ServiceRoom::Add(const Worker& aWorker, Trust aTrust)
{
  const auto longRunning = std::ranges::count_if(
    aWorker.runs_, [](const auto& aRun) { return aRun.second.isLongRunning_; });
  candidates_.push_back({ &aWorker,
                          aWorker.Free(),
                          static_cast<std::size_t>(longRunning),
                          aTrust == Trust::Trial,
                          {} });
}

TaskId
ServiceRoom::StepKey(TaskId aTask)
{
  aTask.index_ = TaskIndex{};
  return aTask;
}

bool
ServiceRoom::MayRun(const Candidate& aCandidate,
                    const TaskId& aTask,
                    const Step& aStep,
                    const Room& aRoom)
{
  if (!aCandidate.free_.Fits(aRoom) ||
      !HasLabel(aCandidate.worker_->entry_, aStep.requiredLabel_)) {
    return false;
  }
  if (aStep.perWorker_ == TaskCount{}) {
    return true;
  }
  const TaskId key = StepKey(aTask);
  const auto taken = aCandidate.taken_.find(key);
  return RunsOfStep(*aCandidate.worker_, key) +
           (taken == aCandidate.taken_.end() ? 0 : taken->second) <
         aStep.perWorker_.Value();
}

// A worker on trial may fail what it gets, so it gets no task that has failed
// before, none that others wait for and none that lasts.
bool
ServiceRoom::IsWorthATry(const Candidate& aCandidate,
                         const Step& aStep,
                         const Task& aHistory)
{
  if (aCandidate.isOnTrial_) {
    return aHistory.failures_ == TaskCount{} && !aStep.gang_ &&
           !aStep.longRunning_;
  }
  return aHistory.failedOn_.IsEmpty() ||
         aHistory.failedOn_ != aCandidate.worker_->entry_.worker_;
}

double
ServiceRoom::LoadAfter(const Candidate& aCandidate, const Room& aRoom)
{
  const Room& capacity = aCandidate.worker_->entry_.capacity_;
  const Room& free = aCandidate.free_;
  return std::max({ UsedShare(free.cpu_, aRoom.cpu_, capacity.cpu_),
                    UsedShare(free.memory_, aRoom.memory_, capacity.memory_),
                    UsedShare(free.accelerators_,
                              aRoom.accelerators_,
                              capacity.accelerators_) });
}

void
ServiceRoom::Reserve(Candidate& aCandidate,
                     const TaskId& aTask,
                     const Step& aStep,
                     const Room& aRoom)
{
  aCandidate.free_ = aCandidate.isOnTrial_ ? Room{} : aCandidate.free_;
  aCandidate.free_ -= aRoom;

  aCandidate.longRunning_ += aStep.longRunning_ ? 1 : 0;

  if (aStep.perWorker_ != TaskCount{}) {
    ++aCandidate.taken_[StepKey(aTask)];
  }
}

// The least loaded worker, so that a lost rack hurts least. Tasks that last
// gather on few workers, since a VM that has one cannot change its pool.
std::optional<Choice>
ServiceRoom::TakeOnRack(const TaskId& aTask,
                        const Step& aStep,
                        const Permission& aPermission,
                        const RackId& aRack,
                        const Task& aHistory)
{
  const Room room = RoomOnWorker(aStep);
  const auto preference = [&](const Candidate& aCandidate) {
    return std::pair{ aStep.longRunning_ ? aCandidate.longRunning_ : 0,
                      -LoadAfter(aCandidate, room) };
  };
  Candidate* best = nullptr;
  std::pair<std::size_t, double> bestPreference;
  for (Candidate& candidate : candidates_) {
    if ((!aRack.IsEmpty() && candidate.worker_->entry_.rack_ != aRack) ||
        !MayRun(candidate, aTask, aStep, room) ||
        !IsWorthATry(candidate, aStep, aHistory) ||
        !IsPermitted(aPermission, candidate.worker_->entry_.worker_)) {
      continue;
    }
    const auto preferred = preference(candidate);
    if (best == nullptr || preferred > bestPreference) {
      best = &candidate;
      bestPreference = preferred;
    }
  }
  if (best == nullptr) {
    return std::nullopt;
  }
  Reserve(*best, aTask, aStep, room);
  const WorkerId& worker = best->worker_->entry_.worker_;
  return Choice{ worker, TicketOf(aPermission, worker) };
}

std::optional<Choice>
ServiceRoom::Take(const TaskId& aTask,
                  const Step& aStep,
                  const Permission& aPermission,
                  const Task& aHistory)
{
  if (!aStep.nearRack_.IsEmpty()) {
    if (auto near =
          TakeOnRack(aTask, aStep, aPermission, aStep.nearRack_, aHistory);
        near) {
      return near;
    }
  }
  if (auto choice = TakeOnRack(aTask, aStep, aPermission, RackId{}, aHistory);
      choice || aHistory.failedOn_.IsEmpty()) {
    return choice;
  }
  // The worker where it failed is better than none.
  Task forgiving = aHistory;
  forgiving.failedOn_ = WorkerId{};
  return TakeOnRack(aTask, aStep, aPermission, RackId{}, forgiving);
}

std::optional<std::vector<Choice>>
ServiceRoom::TakeAllOnRack(const std::vector<TaskId>& aTasks,
                           const Step& aStep,
                           const Permission& aPermission,
                           const RackId& aRack)
{
  const std::vector<Candidate> before = candidates_;
  std::vector<Choice> choices;
  for (const TaskId& task : aTasks) {
    auto choice = aRack.IsEmpty()
                    ? Take(task, aStep, aPermission, Task{})
                    : TakeOnRack(task, aStep, aPermission, aRack, Task{});
    if (!choice) {
      candidates_ = before;
      return std::nullopt;
    }
    choices.push_back(std::move(*choice));
  }
  return choices;
}

std::optional<std::vector<Choice>>
ServiceRoom::TakeAll(const std::vector<TaskId>& aTasks,
                     const Step& aStep,
                     const Permission& aPermission)
{
  if (!aStep.sameRack_) {
    return TakeAllOnRack(aTasks, aStep, aPermission, RackId{});
  }
  std::set<RackId> racks;
  for (const Candidate& candidate : candidates_) {
    racks.insert(candidate.worker_->entry_.rack_);
  }
  for (const RackId& rack : racks) {
    if (auto choices = TakeAllOnRack(aTasks, aStep, aPermission, rack);
        choices) {
      return choices;
    }
  }
  return std::nullopt;
}

std::vector<WorkerId>
ServiceRoom::WithoutAdvice(const TaskId& aTask,
                           const Step& aStep,
                           const TicketHolders& aHolders) const
{
  const Room room = RoomOnWorker(aStep);
  std::vector<WorkerId> workers;
  for (const Candidate& candidate : candidates_) {
    const WorkerId& worker = candidate.worker_->entry_.worker_;
    if (workers.size() < kMostAsked && MayRun(candidate, aTask, aStep, room) &&
        aHolders.advice_->IsOpen(aHolders.step_, worker, aHolders.now_)) {
      workers.push_back(worker);
    }
  }
  return workers;
}

} // namespace verbenawell::jobs
