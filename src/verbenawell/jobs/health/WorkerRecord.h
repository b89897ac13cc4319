#pragma once

#include "verbenawell/core/Ids.h"
#include "verbenawell/core/Time.h"
#include "verbenawell/jobs/model/Ids.h"
#include "verbenawell/jobs/model/TaskId.h"

#include <map>

namespace verbenawell::jobs {

/// How fast a worker gets through its tasks, by their declared run times.
struct Speed
{
  /// Declared run time that was done, and the time it took.
  double declaredSeconds_ = 0;
  double elapsedSeconds_ = 0;

  /// 1 for tasks that take as long as declared.
  [[nodiscard]] double Ratio() const
  {
    return elapsedSeconds_ > 0 ? declaredSeconds_ / elapsedSeconds_ : 0;
  }
};

/// A run as the worker's last list showed it.
struct ObservedRun
{
  RunNumber run_;
  Percent percent_;
  TimePoint seenAt_;
};

/// What one worker's recent runs tell of it; older ones count less.
class WorkerStats
{
public:
  /// The service whose sums hold this record.
  ServiceId service_;

  /// Notes the progress of a run, where a step's tasks take `aDeclared`.
  void AddProgress(const TaskId& aTask,
                   RunNumber aRun,
                   Percent aPercent,
                   Duration aDeclared,
                   TimePoint aNow);
  /// Notes an end. Failures of one job count once in a row, since some jobs
  /// fail on every worker.
  void AddEnd(const TaskId& aTask, bool aFailed, TimePoint aNow);

  [[nodiscard]] const Speed& RecentSpeed() const { return speed_; }
  /// The recent share of ends that failed.
  [[nodiscard]] double FailedShare() const { return failedShare_; }
  [[nodiscard]] TimePoint UpdatedAt() const { return updatedAt_; }
  [[nodiscard]] const std::map<TaskId, ObservedRun>& Runs() const
  {
    return runs_;
  }
  /// Drops the runs that no list has shown since.
  void DropRunsNotSeenSince(TimePoint aSince);

private:
  void Decay(TimePoint aNow);

  std::map<TaskId, ObservedRun> runs_;
  Speed speed_;
  double failedShare_ = 0;
  JobId lastFailed_;
  TimePoint updatedAt_;
};

} // namespace verbenawell::jobs
