#pragma once

#include "verbenawell/core/Time.h"
#include "verbenawell/jobs/health/HealthState.h"
#include "verbenawell/jobs/model/Job.h"
#include "verbenawell/jobs/workers/WorkersState.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>

namespace verbenawell::jobs {

/// Whether a worker may run a task, by what has failed or may crash there.
enum class Suitability : std::uint8_t
{
  None,
  /// Only if no other worker has room.
  LastResort,
  Suitable,
};

/// A suspect that was placed on a worker in an earlier pass.
struct ResidentSuspect
{
  JobId job_;
  WorkerCount crashes_;
  /// Since its placement.
  Duration age_{};
};

/// A worker during one pass, with the capacity that the decisions of this pass
/// leave.
class Candidate
{
public:
  Candidate(const Worker& aWorker, HealthStatus aHealth);

  [[nodiscard]] const WorkerEntry& Entry() const { return worker_->entry_; }
  [[nodiscard]] bool IsHealthy() const
  {
    return health_ == HealthStatus::Healthy;
  }
  [[nodiscard]] bool IsIsolated() const { return !isolatedFor_.IsEmpty(); }
  [[nodiscard]] std::size_t Suspects() const { return suspects_; }
  /// Number of long-running tasks, with those of this pass.
  [[nodiscard]] std::size_t LongRunning() const { return longRunning_; }
  /// Number of other tasks, with those of this pass.
  [[nodiscard]] std::size_t ShortRuns() const { return shortRuns_; }

  void Isolate(const ResidentSuspect& aSuspect);
  void KeepFree() { isKeptFree_ = true; }

  [[nodiscard]] bool HasRoomFor(const TaskId& aTask,
                                const Step& aStep,
                                const Resources& aResources) const;
  /// Number of tasks of a step that the worker can run beside its long-running
  /// ones, up to a limit.
  [[nodiscard]] std::uint64_t TasksBesideLongRunning(
    const Step& aStep,
    std::uint64_t aLimit) const;
  [[nodiscard]] Suitability SuitabilityFor(const TaskId& aTask,
                                           const Step& aStep,
                                           const Task& aHistory) const;
  /// Share of the scarcest resource that is in use with the task, from 0 to 1.
  [[nodiscard]] double LoadWith(const Resources& aResources) const;
  void Reserve(const TaskId& aTask,
               const Step& aStep,
               const Resources& aResources,
               const Task& aHistory);

private:
  [[nodiscard]] Suitability IsolationFor(const JobId& aJob,
                                         const Task& aHistory) const;
  [[nodiscard]] Suitability HealthFor(const TaskId& aTask,
                                      const Step& aStep,
                                      const Task& aHistory) const;

  const Worker* worker_;
  Resources free_;
  std::size_t longRunning_;
  std::size_t shortRuns_;
  HealthStatus health_;
  /// The gang that probes the worker, by its first member; empty if none does.
  std::optional<TaskId> probingGang_;
  /// The job whose suspects run there; empty if any task may run there.
  JobId isolatedFor_;
  std::size_t suspects_ = 0;
  /// A suspect there has not run for long yet, or has crashed more than one
  /// worker.
  bool isExclusive_ = false;
  /// Becomes free for suspects.
  bool isKeptFree_ = false;
  /// Number of tasks placed in this pass, for steps with a limit per worker.
  std::map<TaskId, std::uint32_t> chosenTasks_;
};

} // namespace verbenawell::jobs
