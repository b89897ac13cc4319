#pragma once

#include "verbenawell/core/Time.h"
#include "verbenawell/jobs/model/Job.h"
#include "verbenawell/jobs/overload/LoadShedding.h"
#include "verbenawell/jobs/shares/WorkspaceShedding.h"
#include "verbenawell/jobs/tasks/OpenJobIndex.h"

#include <map>
#include <optional>
#include <set>
#include <variant>
#include <vector>

namespace verbenawell::jobs {

/// A job that has ended, but whose outcome callers may still request.
struct EndedJob
{
  QueueId queue_;
  JobOutcome outcome_ = JobOutcome::Completed;
  /// When this daemon ended the job or read its outcome.
  TimePoint knownSince_;
  WorkspaceId workspace_{};
};

/// The hand-over is being written to the journal.
struct HandOverDecided
{};

/// The other shard is asked to store the job.
struct HandOverOffered
{
  TimePoint sentAt_;
};

/// The other shard has stored the job, which is being written to the journal.
struct HandOverAccepted
{};

/// The other shard has the job, so requests for it are redirected.
struct HandOverComplete
{
  /// When the other shard was last asked whether it still has the job.
  TimePoint checkedAt_;
};

using HandOverPhase = std::
  variant<HandOverDecided, HandOverOffered, HandOverAccepted, HandOverComplete>;

/// A job of this shard that another one gets, which has the workers for it.
struct HandOver
{
  QueueId queue_;
  ShardIndex to_;
  HandOverPhase phase_;
};

/// A worker has crashed between these times.
struct CrashTime
{
  TimePoint from_;
  TimePoint to_;
};

/// The workers of a service in one availability zone.
struct PoolZone
{
  ServiceId service_;
  ZoneId zone_;

  friend bool operator==(const PoolZone&, const PoolZone&) = default;
};

struct RecentCrash
{
  CrashTime time_;
  PoolZone zone_;
  /// The jobs whose tasks the worker ran.
  std::set<JobId> jobs_;
};

/// The jobs of the owner. Empty on daemons that are not the owner.
struct TasksState
{
  std::map<JobId, Job> jobs_;
  /// The job whose due occurrences are added first.
  JobId nextScheduledJob_;
  /// The job whose expected run times are looked up next.
  JobId nextRefreshedJob_;
  OpenJobIndex openJobs_;
  LoadShedding shedding_;
  WorkspaceShedding workspaceShedding_;
  /// The suspects among the tasks of open jobs.
  std::set<TaskId> suspects_;
  /// Crashes of workers, for as long as others that crashed with them may still
  /// be recognized.
  std::vector<RecentCrash> recentCrashes_;
  std::map<JobId, EndedJob> endedJobs_;
  std::map<JobId, HandOver> handOvers_;
  /// Requests to respond to once the submission is in the journal.
  std::multimap<JobId, RequestKey> submitters_;
  /// Requests to respond to once the outcome is in the journal.
  std::multimap<JobId, RequestKey> cancellers_;

  [[nodiscard]] const Job* Find(const JobId& aJob) const
  {
    const auto found = jobs_.find(aJob);
    return found == jobs_.end() ? nullptr : &found->second;
  }

  /// The shard that has a job of this one; empty if no other shard has it.
  [[nodiscard]] std::optional<ShardIndex> HandedOverTo(const JobId& aJob) const
  {
    const auto found = handOvers_.find(aJob);
    return found != handOvers_.end() &&
               std::holds_alternative<HandOverComplete>(found->second.phase_)
             ? std::optional{ found->second.to_ }
             : std::nullopt;
  }
};

} // namespace verbenawell::jobs
