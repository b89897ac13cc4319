#pragma once

#include "verbenawell/jobs/advice/AdviceState.h"
#include "verbenawell/jobs/health/HealthState.h"
#include "verbenawell/jobs/model/Job.h"
#include "verbenawell/jobs/model/StepId.h"
#include "verbenawell/jobs/workers/WorkersState.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
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

/// A suspect that was placed on a worker in an earlier pass.
struct ResidentSuspect
{
  JobId job_;
  WorkerCount crashes_;
  /// Since its placement.
  Duration age_{};
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

  /// Reserves resources for all these tasks or for none.
  /// `aHistory` is that of the most suspect of the tasks.
  std::optional<std::vector<Choice>> ChooseWorkers(
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
  /// Whether a worker may run a task, by what has failed or may crash there.
  enum class Suitability : std::uint8_t
  {
    None,
    /// Only if no other worker has room.
    LastResort,
    Suitable,
  };

  struct Candidate
  {
    const Worker* worker_ = nullptr;
    Resources free_;
    std::size_t longRunning_ = 0;
    HealthStatus health_ = HealthStatus::Healthy;
    /// The gang that probes the worker, by its first member; empty if none
    /// does.
    std::optional<TaskId> probingGang_;
    /// The job whose suspects run there; empty if any task may run there.
    JobId isolatedFor_{};
    /// Number of suspects there.
    std::size_t suspects_ = 0;
    /// A suspect there has not run for long yet, or has crashed more than one
    /// worker.
    bool isExclusive_ = false;
    /// Becomes free for suspects.
    bool isKeptFree_ = false;
    /// Number of tasks other than long-running ones, with those of this pass.
    std::size_t shortRuns_ = 0;

    /// Number of tasks placed in this pass, for steps with a limit per worker.
    std::map<TaskId, std::uint32_t> chosenTasks_;
  };

  static TaskId StepKey(TaskId aTask);
  static bool MayRun(const Candidate& aCandidate,
                     const TaskId& aTask,
                     const Step& aStep,
                     const Resources& aResources);
  /// Suspects run apart from the tasks of other jobs, so that a crash shows
  /// which job caused it, and takes few tasks along. A suspect may run beside
  /// long-running tasks, which leave few workers free.
  static Suitability IsolationOf(const Candidate& aCandidate,
                                 const JobId& aJob,
                                 const Task& aHistory);
  static Suitability SuitabilityOf(const Candidate& aCandidate,
                                   const TaskId& aTask,
                                   const Step& aStep,
                                   const Task& aHistory);
  static double LoadAfter(const Candidate& aCandidate,
                          const Resources& aResources);
  static void Reserve(Candidate& aCandidate,
                      const TaskId& aTask,
                      const Step& aStep,
                      const Resources& aResources,
                      const Task& aHistory);

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

  std::vector<Candidate> candidates_;
};

} // namespace verbenawell::jobs
