#pragma once

#include "verbenawell/core/Endpoint.h"
#include "verbenawell/core/Time.h"
#include "verbenawell/jobs/model/Ids.h"
#include "verbenawell/jobs/model/Job.h"
#include "verbenawell/jobs/model/JobDefinition.h"
#include "verbenawell/jobs/quotas/QuotaMessages.h"

#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace verbenawell::jobs {

/// An accepted job.
struct JobStored
{
  JobId job_;
  QueueId queue_;
  ServiceId service_;
  JobPolicy policy_;
  WallTime acceptedAt_;
  JobDefinition definition_;
  /// Empty in records of earlier versions.
  WorkspaceId workspace_{};
};

/// The progress of a task that was started at least once.
struct TaskProgress
{
  Occurrence occurrence_;
  StepIndex step_;
  TaskIndex index_;
  RunNumber lastRun_;
  TaskCount failures_;
  bool done_ = false;
  std::string checkpoint_;
  /// Worker of the last run; empty if the run has ended.
  WorkerId worker_;
  /// Crashes of its workers while it was surely there. This and the next field
  /// are empty in records of earlier versions.
  std::optional<WorkerCount> crashes_{};
  /// Incarnation of `worker_` when the run was assigned.
  std::optional<WorkerIncarnation> incarnation_{};
};

/// The tasks of a part of a job that were started; replaces the part's earlier
/// progress record.
struct ProgressStored
{
  JobId job_;
  std::vector<TaskProgress> tasks_;
  /// Empty in a record of an earlier version, which holds all tasks of the job.
  std::optional<ProgressPart> part_{};
};

/// A run that was to be stopped when its job ended.
struct RemainingRun
{
  Occurrence occurrence_;
  StepIndex step_;
  TaskIndex index_;
  RunNumber run_;
  WorkerId worker_;
  Resources resources_;
};

/// A job that has ended; replaces its definition and progress.
struct OutcomeStored
{
  JobId job_;
  QueueId queue_;
  JobOutcome outcome_ = JobOutcome::Open;
  /// By the clock of the owner that ended the job; for readers of the journal.
  WallTime endedAt_;
  /// The parts of the job's progress, whose records are deleted. This and the
  /// next field are not stored.
  std::vector<ProgressPart> parts_{};
  /// The job has an `OccurrencesDone` record, which is deleted too.
  bool hasDoneOccurrences_ = false;
  /// Empty in records of earlier versions.
  WorkspaceId workspace_{};
  /// Only for a job of a workspace, whose quota these runs take.
  std::vector<RemainingRun> remaining_{};
};

/// The leading occurrences of a scheduled job that are done.
struct OccurrencesDone
{
  JobId job_;
  Occurrence count_;
  /// The parts of the job's progress that belong to these occurrences only,
  /// whose records are deleted. They are not stored.
  std::vector<ProgressPart> parts_{};
};

/// A job that its shard hands over to another one, which has the workers for
/// it. The other shard may not have stored the job yet.
struct JobHandedOver
{
  JobId job_;
  QueueId queue_;
  ShardIndex to_;
  /// The other shard has stored the job, so its record here is deleted.
  bool isConfirmed_ = false;
};

/// Deletes the record of a handed-over job that the other shard has forgotten.
struct HandOverRemoved
{
  JobId job_;
};

/// Deletes the record of a job that ended long ago.
struct JobRemoved
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

/// The VMs of a wave whose maintenance has begun.
struct WaveStored
{
  WaveNumber wave_;
  std::vector<VmId> begun_;
};

struct StoredHomePool
{
  VmId vm_;
  ServiceId pool_;
};

/// The home pools of VMs, whichever pools they are in now.
struct HomePoolsStored
{
  std::vector<StoredHomePool> homePools_;
};

struct StoredQuotaPart
{
  ShardIndex shard_;
  /// At least what the shard may use and what its runs take.
  Resources held_;
  /// The report of the shard that this was decided on.
  Epoch epoch_;
  QuotaReportNumber report_;
};

/// The parts of a workspace's quota. Only in the journal of the first shard.
struct QuotaPartsStored
{
  WorkspaceId workspace_;
  std::vector<StoredQuotaPart> parts_;
};

using JournalRecord = std::variant<JobStored,
                                   ProgressStored,
                                   OutcomeStored,
                                   JobRemoved,
                                   WorkersStored,
                                   WaveStored,
                                   HomePoolsStored,
                                   OccurrencesDone,
                                   JobHandedOver,
                                   HandOverRemoved,
                                   QuotaPartsStored>;

} // namespace verbenawell::jobs
