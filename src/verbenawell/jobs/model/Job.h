#pragma once

#include "verbenawell/core/Time.h"
#include "verbenawell/jobs/model/Ids.h"
#include "verbenawell/jobs/model/JobDefinition.h"
#include "verbenawell/jobs/model/TaskId.h"

#include <cstdint>
#include <map>
#include <string>
#include <utility>
#include <variant>
#include <vector>

namespace verbenawell::jobs {

/// Not started yet, or the last run has ended and the task has to run again.
struct Waiting
{};

/// Assigned to a worker: starting, running or stopping there.
struct Placed
{
  WorkerId worker_;
  RunNumber run_;
  TimePoint since_;
  /// Incarnation of the worker when the run was assigned; zero if unknown.
  WorkerIncarnation incarnation_{};
  /// The run continues a checkpoint or was placed by an earlier owner, so
  /// `since_` is not the start of the task's work.
  bool isContinued_ = false;
};

struct Done
{};

using TaskStatus = std::variant<Waiting, Placed, Done>;

/// Progress of a task that is done, or of a long-running one that is at work.
inline constexpr Percent kCompletePercent{ 100 };

struct Task
{
  TaskStatus status_;
  /// Highest run number that may have been sent to a worker.
  RunNumber lastRun_;
  TaskCount failures_;
  /// Worker on which the last run failed, or that crashed under it; not stored
  /// in the journal. The next run goes to another one if it can.
  WorkerId failedOn_;
  /// Workers that have crashed under the task since it last proved harmless.
  WorkerCount crashes_;
  /// Those of `crashes_` that may have another cause: the start had no
  /// response, so that the task may not have been there, or workers of the same
  /// zone crashed at that moment. Not stored in the journal.
  WorkerCount unconfirmedCrashes_;
  /// A suspect proves harmless by running this long.
  Duration probation_{};
  std::string checkpoint_;
  /// When a worker last reported the checkpoint; not stored in the journal.
  TimePoint checkpointAt_;
  /// Progress of the start-up or of the work that the worker last reported.
  Percent percent_;
  /// A stop was requested; the task counts as unavailable from then on.
  bool isStopping_ = false;

  /// A worker has crashed under the task, and it has not proved harmless since.
  [[nodiscard]] bool IsSuspect() const { return crashes_ > WorkerCount{}; }
  /// The last run was reported to be at work if the task is long-running.
  [[nodiscard]] bool HasStartedUp() const
  {
    return percent_ == kCompletePercent;
  }
};

struct StepTasks
{
  std::vector<Task> tasks_;
  TaskCount done_;
  TaskCount waiting_;

  [[nodiscard]] bool IsDone() const { return done_.Value() == tasks_.size(); }
};

/// One execution of all steps of the job.
struct OccurrenceTasks
{
  std::vector<StepTasks> steps_;
};

enum class JobOutcome : std::uint8_t
{
  Open,
  Completed,
  Failed,
  Cancelled,
};

std::string_view
ToString(JobOutcome aOutcome);

/// Settings of the job's queue at the time when the job was accepted.
struct JobPolicy
{
  Priority priority_;
  TaskCount maxAttempts_;
  /// A job is in time if it ends within this time after its acceptance.
  Duration objective_{};
  /// The steps start only with a ticket of the advice service.
  bool needsTickets_ = false;
};

struct Job
{
  JobId id_;
  QueueId queue_;
  ServiceId service_;
  /// Empty for a job of a public queue or of a deployment without workspaces.
  WorkspaceId workspace_;
  JobPolicy policy_;
  JobDefinition definition_;
  TimePoint acceptedAt_;
  /// The occurrences from `doneOccurrences_` up to `nextOccurrence_`.
  std::map<Occurrence, OccurrenceTasks> occurrences_;
  /// Number of the next occurrence to create, from 0.
  Occurrence nextOccurrence_;
  /// All occurrences before this one are done, and their tasks were removed.
  Occurrence doneOccurrences_;
  /// Number of tasks of `occurrences_` that are not done, by step.
  std::vector<std::uint64_t> openTasks_;
  /// Expected run times of a task by step, learned from earlier runs; not
  /// stored in the journal. Empty if the declared ones apply.
  std::vector<Duration> expectedRunTimes_;
  JobOutcome outcome_ = JobOutcome::Open;
  TimePoint endedAt_;
  /// The submission is in the journal.
  bool stored_ = false;
  /// The outcome is in the journal, so it may be shown to callers.
  bool outcomeStored_ = false;
  bool started_ = false;
  /// Another shard gets the job, so none of its tasks is started here.
  bool isHandedOver_ = false;

  [[nodiscard]] Task* Find(const TaskId& aTask);
  [[nodiscard]] const Task* Find(const TaskId& aTask) const;
  /// Expected run time of a task of the step.
  [[nodiscard]] Duration ExpectedRunTime(StepIndex aStep) const;
  [[nodiscard]] bool IsLongRunning() const;
  [[nodiscard]] Occurrence OccurrenceCount() const;
  /// Returns whether all steps that this step depends on are done.
  [[nodiscard]] bool IsReady(Occurrence aOccurrence, StepIndex aStep) const;
  /// Returns whether all occurrences were created and are done.
  [[nodiscard]] bool IsDone() const;
  /// Returns whether a run of any task may have been sent to a worker.
  [[nodiscard]] bool HasRuns() const;
  /// Returns whether an occurrence is left to create, is due and leaves the
  /// number of tasks that exist within its limit.
  [[nodiscard]] bool MayAddOccurrence(WallTime aNow) const;
};

/// Adds the tasks of the next occurrence.
void
AddOccurrence(Job& aJob);

/// Removes the tasks of the leading occurrences that are done. Returns whether
/// there were any.
bool
RemoveDoneOccurrences(Job& aJob);

/// Sets the status of a task and updates the counts of its step.
void
SetStatus(Job& aJob, const TaskId& aTask, TaskStatus aStatus);

/// Gives all members of a gang the checkpoint that was reported last, so that
/// they resume at the same point.
void
ShareCheckpoint(StepTasks& aGang);

/// Returns the tasks that are assigned to workers.
std::vector<std::pair<TaskId, Placed>>
PlacedTasks(const Job& aJob);

/// Returns the time of the critical path: the longest chain of dependent steps
/// by their expected run times, plus `aPerStep` for each step of the chain.
Duration
CriticalPathTime(const Job& aJob, Duration aPerStep = {});

} // namespace verbenawell::jobs
