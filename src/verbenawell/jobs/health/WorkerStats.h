#pragma once

#include "verbenawell/core/Ids.h"
#include "verbenawell/core/Time.h"
#include "verbenawell/jobs/model/Ids.h"
#include "verbenawell/jobs/model/TaskId.h"

#include <map>

namespace verbenawell::jobs {

/// Speed of a worker, relative to the expected run times of its tasks.
struct Speed
{
  /// Expected run time of the completed work.
  double expectedSeconds_ = 0;
  /// Time that this work took.
  double elapsedSeconds_ = 0;

  /// 1 for tasks that take as long as expected.
  [[nodiscard]] double Ratio() const
  {
    return elapsedSeconds_ > 0 ? expectedSeconds_ / elapsedSeconds_ : 0;
  }
};

/// A run as the worker's newest list showed it.
struct ObservedRun
{
  RunNumber run_;
  Percent percent_;
  TimePoint seenAt_;
};

/// Statistics over a worker's runs, in which older runs weigh less.
class WorkerStats
{
public:
  /// The service whose sums include this worker.
  ServiceId service_;

  /// Adds the progress of a run whose expected run time is `aExpected`.
  void AddProgress(const TaskId& aTask,
                   RunNumber aRun,
                   Percent aPercent,
                   Duration aExpected,
                   TimePoint aNow);
  /// Adds the end of a run. Consecutive failures of one job count once, because
  /// some jobs fail on every worker.
  void AddEnd(const TaskId& aTask, bool aFailed, TimePoint aNow);
  /// Adds a long-running task that has started up; weighs as much as an end
  /// without a failure.
  void AddStartUp(TimePoint aNow);

  [[nodiscard]] const Speed& RecentSpeed() const { return speed_; }
  /// Share of failed ends, in which older ends weigh less; from 0 to 1.
  [[nodiscard]] double FailedShare() const { return failedShare_; }
  [[nodiscard]] TimePoint UpdatedAt() const { return updatedAt_; }
  [[nodiscard]] const std::map<TaskId, ObservedRun>& Runs() const
  {
    return runs_;
  }
  /// Drops the runs that no list has shown since `aSince`.
  void DropRunsNotSeenSince(TimePoint aSince);

private:
  void Decay(TimePoint aNow);
  void AddSuccess();

  std::map<TaskId, ObservedRun> runs_;
  Speed speed_;
  double failedShare_ = 0;
  JobId lastFailed_;
  TimePoint updatedAt_;
};

} // namespace verbenawell::jobs
