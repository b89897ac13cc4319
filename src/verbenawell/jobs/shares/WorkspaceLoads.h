#pragma once

#include "verbenawell/jobs/model/Job.h"

#include <cstdint>
#include <map>

namespace verbenawell::jobs {

/// What the open jobs of a workspace take and need in the pool of one service,
/// without long-running jobs.
struct WorkspaceLoad
{
  /// Resources of the tasks that have a run.
  Resources used_;
  /// CPU time that the jobs still need, in millicores times seconds.
  std::uint64_t cpuSeconds_ = 0;
  std::uint64_t jobs_ = 0;

  bool operator==(const WorkspaceLoad&) const = default;
};

/// The loads of all workspaces, kept up to date by the jobs that change.
class WorkspaceLoads
{
public:
  using ById = std::map<WorkspaceId, WorkspaceLoad>;

  void Add(const ServiceId& aService,
           const WorkspaceId& aWorkspace,
           const WorkspaceLoad& aLoad);

  /// Takes back a load that was added.
  void Remove(const ServiceId& aService,
              const WorkspaceId& aWorkspace,
              const WorkspaceLoad& aLoad);

  /// The workspaces that have open jobs on a service.
  [[nodiscard]] const ById& In(const ServiceId& aService) const;

private:
  std::map<ServiceId, ById> loads_;
};

/// Returns the resources of the tasks of a job that have a run, without
/// long-running tasks.
Resources
ResourcesInUse(const Job& aJob);

} // namespace verbenawell::jobs
