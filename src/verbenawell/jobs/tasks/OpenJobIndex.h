#pragma once

#include "verbenawell/jobs/model/Job.h"
#include "verbenawell/jobs/shares/WorkspaceLoads.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <set>

namespace verbenawell::jobs {

/// What the decisions need to know of all open jobs, kept up to date by the
/// jobs that change, so that a decision does not depend on the number of the
/// others.
class OpenJobIndex
{
public:
  /// Replaces what is known of a job. Has to follow each change of its tasks,
  /// its outcome, its expected run times, `stored_`, `started_` or
  /// `isHandedOver_`.
  void Update(const Job& aJob);

  void Remove(const JobId& aJob);

  /// The open jobs that are stored and have tasks whose turn has come and that
  /// have no run, by service.
  [[nodiscard]] const std::map<ServiceId, std::set<JobId>>& Waiting() const
  {
    return waiting_;
  }

  /// Number of jobs in `Waiting`.
  [[nodiscard]] std::size_t WaitingCount() const { return waitingCount_; }

  /// CPU time that the open jobs of a service still need, in millicores times
  /// microseconds; without jobs that run until they are cancelled, and with one
  /// occurrence of each scheduled job at most.
  [[nodiscard]] std::uint64_t RemainingCpuTime(const ServiceId& aService) const;

  /// Number of open jobs of a queue that are stored and have not begun.
  [[nodiscard]] std::uint64_t Pending(const QueueId& aQueue) const;

  /// The loads of the workspaces; without the jobs of no workspace.
  [[nodiscard]] const WorkspaceLoads& Workspaces() const { return workspaces_; }

private:
  struct Entry
  {
    ServiceId service_;
    QueueId queue_;
    WorkspaceId workspace_;
    /// Without resources in use if the job has no workspace.
    WorkspaceLoad load_;
    bool isWaiting_ = false;
    bool isPending_ = false;
  };

  std::map<JobId, Entry> entries_;
  std::map<ServiceId, std::set<JobId>> waiting_;
  std::size_t waitingCount_ = 0;
  /// In millicores times seconds, rounded up for each job. A million jobs of
  /// the largest declared size do not overflow the sum.
  std::map<ServiceId, std::uint64_t> cpuSeconds_;
  std::map<QueueId, std::uint64_t> pending_;
  WorkspaceLoads workspaces_;
};

} // namespace verbenawell::jobs
