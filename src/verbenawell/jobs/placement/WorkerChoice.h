#pragma once

#include "verbenawell/jobs/advice/AdviceState.h"
#include "verbenawell/jobs/health/HealthState.h"
#include "verbenawell/jobs/model/Job.h"
#include "verbenawell/jobs/model/StepId.h"
#include "verbenawell/jobs/placement/internal/Candidate.h"
#include "verbenawell/jobs/workers/WorkersState.h"

#include <cstddef>
#include <optional>
#include <set>
#include <string>
#include <variant>
#include <vector>

namespace verbenawell::jobs {

/// Any worker may run the step.
struct AnyWorker
{};

/// Only workers with a ticket may run the step.
struct TicketRequired
{
  const AdviceState* advice_ = nullptr;
  StepId step_;
  TimePoint now_;
};

using Permission = std::variant<AnyWorker, TicketRequired>;

/// A worker that was chosen for a task.
struct Choice
{
  WorkerId worker_;
  std::string ticket_;
};

/// The workers of one service during one pass, with the capacity that the
/// decisions of this pass leave.
class ServiceCapacity
{
public:
  void Add(const Worker& aWorker, HealthStatus aStatus);

  /// The worker runs a suspect, so it takes no tasks but other suspects of the
  /// job. Once all of its suspects have run for a while without a crash, it
  /// also takes tasks for which no other worker has room.
  void Isolate(const WorkerId& aWorker, const ResidentSuspect& aSuspect);

  /// Keeps tasks away from up to this many workers, the least loaded ones, so
  /// that they become free for suspects. At most half of the workers of the
  /// service are isolated or kept free, but at least one.
  void KeepFreeForSuspects(std::size_t aWorkers);

  [[nodiscard]] bool IsEmpty() const { return candidates_.empty(); }

  /// Reserves resources for a task on the best worker; empty if no worker may
  /// run it now.
  std::optional<Choice> ChooseWorker(const TaskId& aTask,
                                     const Step& aStep,
                                     const Permission& aPermission,
                                     const Task& aHistory);

  /// Reserves resources for all these tasks or for none; in one rack if the
  /// step prefers that. `aHistory` is that of the most suspect of the tasks.
  std::optional<std::vector<Choice>> ChooseWorkers(
    const std::vector<TaskId>& aTasks,
    const Step& aStep,
    const Permission& aPermission,
    const Task& aHistory);

  /// The same for a step that prefers one rack and has waited for it. The tasks
  /// spread over racks, where they take longer, if there is room for them twice
  /// or if no rack can hold them.
  std::optional<std::vector<Choice>> ChooseWorkersAcrossRacks(
    const std::vector<TaskId>& aTasks,
    const Step& aStep,
    const Permission& aPermission,
    const Task& aHistory);

  /// Workers with capacity for the step for which advice is missing.
  [[nodiscard]] std::vector<WorkerId> WorkersWithoutAdvice(
    const TaskId& aTask,
    const Step& aStep,
    const TicketRequired& aRequired) const;

private:
  /// Takes workers of at least this suitability, and the most suitable ones
  /// first.
  std::optional<Choice> ChooseWorkerOnRack(const TaskId& aTask,
                                           const Step& aStep,
                                           const Permission& aPermission,
                                           const RackId& aRack,
                                           Suitability aLeast,
                                           const Task& aHistory);
  std::optional<std::vector<Choice>> ChooseWorkersOnRack(
    const std::vector<TaskId>& aTasks,
    const Step& aStep,
    const Permission& aPermission,
    const RackId& aRack,
    Suitability aLeast,
    const Task& aHistory);

  [[nodiscard]] std::set<RackId> Racks() const;
  /// Returns whether the workers of one rack can hold these tasks of a step
  /// once their short tasks have ended.
  [[nodiscard]] bool CanRackHold(const RackId& aRack,
                                 const Step& aStep,
                                 std::size_t aTasks) const;

  std::vector<Candidate> candidates_;
};

} // namespace verbenawell::jobs
