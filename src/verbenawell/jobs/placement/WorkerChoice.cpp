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

} // namespace

void
ServiceCapacity::Add(const Worker& aWorker, HealthStatus aStatus)
{
  candidates_.emplace_back(aWorker, aStatus);
}

void
ServiceCapacity::Isolate(const WorkerId& aWorker,
                         const ResidentSuspect& aSuspect)
{
  for (Candidate& candidate : candidates_) {
    if (candidate.Entry().worker_ == aWorker) {
      candidate.Isolate(aSuspect);
    }
  }
}

void
ServiceCapacity::KeepFreeForSuspects(std::size_t aWorkers)
{
  const auto isolated = static_cast<std::size_t>(
    std::ranges::count_if(candidates_, [](const Candidate& aCandidate) {
      return aCandidate.IsIsolated();
    }));
  const std::size_t limit = std::max<std::size_t>(1, candidates_.size() / 2);
  std::vector<Candidate*> byLoad;
  for (Candidate& candidate : candidates_) {
    if (!candidate.IsIsolated() && candidate.IsHealthy()) {
      byLoad.push_back(&candidate);
    }
  }
  std::ranges::stable_sort(byLoad, {}, [](const Candidate* aCandidate) {
    return std::pair{ aCandidate->LongRunning() > 0, aCandidate->ShortRuns() };
  });
  const std::size_t count =
    std::min({ aWorkers, byLoad.size(), limit - std::min(limit, isolated) });
  for (std::size_t index = 0; index < count; ++index) {
    byLoad[index]->KeepFree();
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
        ? aCandidate.Suspects()
        : 0;
    return std::tuple{ aSuitability,
                       -static_cast<std::ptrdiff_t>(suspects),
                       aCandidate.LongRunning(),
                       aStep.longRunning_ ? -aCandidate.LoadWith(resources)
                                          : aCandidate.LoadWith(resources) };
  };
  Candidate* best = nullptr;
  std::tuple<Suitability, std::ptrdiff_t, std::size_t, double> bestPreference;
  for (Candidate& candidate : candidates_) {
    const Suitability suitability =
      candidate.SuitabilityFor(aTask, aStep, aHistory);
    if (suitability < aLeast ||
        (!aRack.IsEmpty() && candidate.Entry().rack_ != aRack) ||
        !candidate.HasRoomFor(aTask, aStep, resources) ||
        !IsPermitted(aPermission, candidate.Entry().worker_)) {
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
  best->Reserve(aTask, aStep, resources, aHistory);
  const WorkerId& worker = best->Entry().worker_;
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
  const std::set<RackId> racks = Racks();
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

std::optional<std::vector<Choice>>
ServiceCapacity::ChooseWorkersAcrossRacks(const std::vector<TaskId>& aTasks,
                                          const Step& aStep,
                                          const Permission& aPermission,
                                          const Task& aHistory)
{
  const auto choose = [&] {
    return ChooseWorkersOnRack(
      aTasks, aStep, aPermission, RackId{}, Suitability::LastResort, aHistory);
  };
  const std::vector<Candidate> before = candidates_;
  auto choices = choose();
  const bool mayWaitForRack =
    choices && std::ranges::any_of(Racks(), [&](const RackId& aRack) {
      return CanRackHold(aRack, aStep, aTasks.size());
    });
  if (!mayWaitForRack) {
    return choices;
  }
  std::vector<Candidate> after = candidates_;
  if (!choose()) {
    candidates_ = before;
    return std::nullopt;
  }
  candidates_ = std::move(after);
  return choices;
}

std::set<RackId>
ServiceCapacity::Racks() const
{
  std::set<RackId> racks;
  for (const Candidate& candidate : candidates_) {
    racks.insert(candidate.Entry().rack_);
  }
  return racks;
}

bool
ServiceCapacity::CanRackHold(const RackId& aRack,
                             const Step& aStep,
                             std::size_t aTasks) const
{
  std::uint64_t tasks = 0;
  for (const Candidate& candidate : candidates_) {
    if (candidate.Entry().rack_ == aRack) {
      tasks += candidate.TasksBesideLongRunning(aStep, aTasks);
    }
  }
  return tasks >= aTasks;
}

std::vector<WorkerId>
ServiceCapacity::WorkersWithoutAdvice(const TaskId& aTask,
                                      const Step& aStep,
                                      const TicketRequired& aRequired) const
{
  const Resources resources = ResourcesOnWorker(aStep);
  std::vector<WorkerId> workers;
  for (const Candidate& candidate : candidates_) {
    const WorkerId& worker = candidate.Entry().worker_;
    if (workers.size() < kMaxWorkersPerAdviceCall &&
        candidate.HasRoomFor(aTask, aStep, resources) &&
        aRequired.advice_->NeedsAdvice(
          aRequired.step_, worker, aRequired.now_)) {
      workers.push_back(worker);
    }
  }
  return workers;
}

} // namespace verbenawell::jobs
