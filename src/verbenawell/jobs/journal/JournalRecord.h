#pragma once

#include "verbenawell/core/Endpoint.h"
#include "verbenawell/core/Time.h"
#include "verbenawell/jobs/model/Ids.h"
#include "verbenawell/jobs/model/Job.h"
#include "verbenawell/jobs/model/JobDefinition.h"

#include <string>
#include <variant>
#include <vector>

namespace verbenawell::jobs {

/// A job as accepted.
struct JobStored
{
  JobId job_;
  QueueId queue_;
  ServiceId service_;
  JobTerms terms_;
  WallTime acceptedAt_;
  JobDefinition definition_;
};

/// A task that has been started.
struct TaskProgress
{
  Occurrence occurrence_;
  StepIndex step_;
  TaskIndex index_;
  RunNumber lastRun_;
  TaskCount failures_;
  bool done_ = false;
  std::string checkpoint_;
  /// Where the last run was ordered; empty if it has ended.
  WorkerId worker_;
};

/// What was started and has ended of a job; replaces its earlier progress.
struct ProgressStored
{
  JobId job_;
  std::vector<TaskProgress> tasks_;
};

/// A job that has ended; replaces its definition and progress.
struct OutcomeStored
{
  JobId job_;
  QueueId queue_;
  JobOutcome outcome_ = JobOutcome::Open;
  WallTime endedAt_;
};

/// Nobody asks for the job any more.
struct JobForgotten
{
  JobId job_;
};

struct StoredWorker
{
  WorkerId worker_;
  ServiceId service_;
  Endpoint address_;
};

/// The workers that may hold leases.
struct WorkersStored
{
  std::vector<StoredWorker> workers_;
};

/// VMs of a wave whose maintenance has begun.
struct WaveStored
{
  WaveNumber wave_;
  std::vector<VmId> begun_;
};

struct StoredHome
{
  VmId vm_;
  ServiceId pool_;
};

/// The pools that VMs belong to, wherever they are now.
struct HomesStored
{
  std::vector<StoredHome> homes_;
};

using JournalRecord = std::variant<JobStored,
                                   ProgressStored,
                                   OutcomeStored,
                                   JobForgotten,
                                   WorkersStored,
                                   WaveStored,
                                   HomesStored>;

} // namespace verbenawell::jobs
