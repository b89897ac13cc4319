#pragma once

#include "verbenawell/core/Time.h"
#include "verbenawell/jobs/model/Ids.h"
#include "verbenawell/jobs/model/JobDefinition.h"
#include "verbenawell/jobs/quotas/QuotaMessages.h"
#include "verbenawell/jobs/workspaces/Credential.h"

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <variant>

namespace verbenawell::jobs {

struct JobStored;

/// Submits a job.
struct SubmitJob
{
  JobId job_;
  std::shared_ptr<const JobDefinition> definition_;
};

/// Requests the state of a job.
struct ReadJob
{
  JobId job_;
};

struct CancelJob
{
  JobId job_;
};

/// Requests the number of jobs of the queue that have not started.
struct CountPending
{};

/// Only between shards: stores a job that another shard has accepted.
struct AdoptJob
{
  std::shared_ptr<const JobStored> job_;
};

/// Only between shards: requests the state of an adopted job.
struct FindAdoptedJob
{
  JobId job_;
};

using CallerAction = std::variant<SubmitJob,
                                  ReadJob,
                                  CancelJob,
                                  CountPending,
                                  AdoptJob,
                                  FindAdoptedJob,
                                  ReportQuotas>;

/// The job that an action names; empty for an action on a queue.
JobId
JobOf(const CallerAction& aAction);

/// Returns whether an action comes from the owner of another shard. Such a
/// request names no path of a queue.
bool
IsBetweenShards(const CallerAction& aAction);

/// A caller's request to a queue.
struct CallerRequest
{
  std::string host_;
  std::string path_;
  CallerAction action_;
  /// Newest configuration version with which a daemon resolved the queue.
  ConfigurationVersion configuration_{};
  /// The shard whose owner decides on the request.
  ShardIndex shard_{};
  /// The job's own shard has handed the job over to `shard_`. Not sent to other
  /// daemons.
  bool isRedirected_ = false;
  /// The workspace of the caller, as the daemon that received the request found
  /// it by the key; empty for a public queue.
  WorkspaceId workspace_{};
  /// Not sent to other daemons.
  Credential credential_{};
};

/// Why a submission was rejected. No task of a rejected job has run.
enum class RejectReason : std::uint8_t
{
  NoConfiguration,
  NoOwner,
  StoreUnavailable,
  Overload,
  /// The workspace has more work than its share of the VMs completes in time.
  WorkspaceOverload,
  /// A task of the job needs more than the workspace may use.
  QuotaTooSmall,
  /// Another workspace has a job with the id.
  IdInUse,
};

std::string_view
ToString(RejectReason aReason);

struct JobAccepted
{};

struct JobRejected
{
  RejectReason reason_ = RejectReason::Overload;
  Duration retryAfter_{};
};

struct QueueUnknown
{};

struct JobUnknown
{};

enum class JobState : std::uint8_t
{
  Queued,
  Running,
  Completed,
  Failed,
  Cancelled,
};

std::string_view
ToString(JobState aState);

struct JobStateReported
{
  JobState state_ = JobState::Queued;
};

struct CancelAccepted
{};

struct PendingJobsReported
{
  std::uint64_t jobs_ = 0;
};

/// The request may have taken effect, but no response came before its deadline.
struct OutcomeUnknown
{};

/// Only between daemons: the daemon that received the request is not the owner.
struct NotOwner
{
  /// The daemon was the owner when the request arrived, so the request may have
  /// taken effect.
  bool mayHaveTakenEffect_ = false;
};

/// The queue is not public, and the request has no key of a workspace.
struct KeyRejected
{};

/// Only between daemons: another shard has the job.
struct OtherShard
{
  ShardIndex shard_;
};

using CallerResponse = std::variant<JobAccepted,
                                    JobRejected,
                                    QueueUnknown,
                                    JobUnknown,
                                    JobStateReported,
                                    CancelAccepted,
                                    PendingJobsReported,
                                    OutcomeUnknown,
                                    NotOwner,
                                    OtherShard,
                                    KeyRejected,
                                    QuotasDealt>;

} // namespace verbenawell::jobs
