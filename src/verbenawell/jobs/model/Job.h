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

/// Not started, or its last run has ended and it has to run again.
struct Waiting
{};

/// Placed on a worker: ordered, running, or being stopped there.
struct Placed
{
  WorkerId worker_;
  RunNumber run_;
  TimePoint since_;
};

struct Done
{};

using TaskStatus = std::variant<Waiting, Placed, Done>;

struct Task
{
  TaskStatus status_;
  /// Highest run number that may have been used.
  RunNumber lastRun_;
  TaskCount failures_;
  /// Where the last run failed; not stored.
  WorkerId failedOn_;
  std::string checkpoint_;
  /// Share of its start-up or work that the worker last reported.
  Percent percent_;
  /// A stop is ordered, so the task is as good as away.
  bool isStopping_ = false;
};

struct StepTasks
{
  std::vector<Task> tasks_;
  TaskCount done_;
  TaskCount waiting_;

  [[nodiscard]] bool IsDone() const { return done_.Value() == tasks_.size(); }
};

/// One run of all steps.
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

/// What the configuration said of the job's queue when it was accepted.
struct JobTerms
{
  Priority priority_;
  TaskCount maxAttempts_;
  /// How long after its acceptance the job has to end to be in time.
  Duration objective_{};
  /// Its steps start only with a ticket of the advice service.
  bool needsTickets_ = false;
};

struct Job
{
  JobId id_;
  QueueId queue_;
  ServiceId service_;
  JobTerms terms_;
  JobDefinition definition_;
  TimePoint acceptedAt_;
  std::map<Occurrence, OccurrenceTasks> occurrences_;
  /// Occurrences that are due or were created, from 0.
  Occurrence nextOccurrence_;
  JobOutcome outcome_ = JobOutcome::Open;
  TimePoint endedAt_;
  /// The submission is in the journal.
  bool stored_ = false;
  /// The outcome is in the journal, so callers may see it.
  bool outcomeStored_ = false;
  bool started_ = false;

  [[nodiscard]] Task* Find(const TaskId& aTask);
  [[nodiscard]] const Task* Find(const TaskId& aTask) const;
  [[nodiscard]] bool IsLongRunning() const;
  [[nodiscard]] Occurrence Occurrences() const;
  /// Tells whether the steps before this one are done.
  [[nodiscard]] bool IsReady(Occurrence aOccurrence, StepIndex aStep) const;
  /// Tells whether all occurrences are done.
  [[nodiscard]] bool IsDone() const;
};

/// Adds the tasks of the next occurrence.
void
AddOccurrence(Job& aJob);

/// Sets the status and keeps the step's counts.
void
SetStatus(Job& aJob, const TaskId& aTask, TaskStatus aStatus);

/// The tasks that are placed on workers.
std::vector<std::pair<TaskId, Placed>>
PlacedTasks(const Job& aJob);

/// The longest chain of declared run times, with this much more for each step.
Duration
LongestChain(const JobDefinition& aDefinition, Duration aPerStep = {});

} // namespace verbenawell::jobs
