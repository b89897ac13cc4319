#pragma once

#include "verbenawell/core/Time.h"
#include "verbenawell/jobs/model/Ids.h"
#include "verbenawell/jobs/model/Resources.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace verbenawell::jobs {

/// A group of equal tasks within a job.
struct Step
{
  TaskCount count_;
  Resources resources_;
  /// Run time of a task as its caller declared it; may be far from the real
  /// one.
  Duration estimatedRunTime_{};
  /// Steps that must be done before this one starts.
  std::vector<StepIndex> dependencies_;
  /// Label that the worker must have; empty for any worker.
  std::string requiredLabel_;
  /// Rack that holds the data; the tasks take longer in other racks.
  RackId preferredRack_;
  /// Maximum number of tasks of the step on one worker; 0 for no limit.
  TaskCount maxPerWorker_;
  ImageId image_;
  /// Maximum tail latency of a serving task; 0 for other tasks.
  Duration latencyTarget_{};
  /// Maximum number of tasks that the system may make unavailable at a time; 0
  /// for no budget.
  TaskCount disruptionBudget_;
  /// The tasks of a gang take longer if they run in more than one rack.
  bool sameRack_ = false;
  /// The tasks start together, and the end of one ends all.
  bool gang_ = false;
  /// Stored with the job, but without effect.
  bool speculative_ = false;
  /// Runs until the job is cancelled.
  bool longRunning_ = false;
  /// Best-effort: uses only processor time that other tasks leave idle.
  bool bestEffort_ = false;
  bool checkpointing_ = false;
};

/// Returns the resources that a task takes from its worker's capacity. A
/// best-effort task reserves no processor time.
Resources
ResourcesOnWorker(const Step& aStep);

/// Due times of the occurrences of a scheduled job.
struct Schedule
{
  TaskCount repetitions_;
  WallTime first_;
  Duration interval_{};
};

/// Returns when an occurrence is due, or the end of the range of times if that
/// is later.
WallTime
DueTime(const Schedule& aSchedule, Occurrence aOccurrence);

/// A job as its caller submitted it.
struct JobDefinition
{
  std::string specification_;
  std::vector<Step> steps_;
  std::optional<Schedule> schedule_;
};

/// Number of tasks of all steps.
std::uint64_t
TasksPerOccurrence(const JobDefinition& aDefinition);

/// Throws `std::invalid_argument` that describes the first error.
void
ValidateDefinition(const JobDefinition& aDefinition);

} // namespace verbenawell::jobs
