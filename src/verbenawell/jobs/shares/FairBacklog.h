#pragma once

#include "verbenawell/jobs/model/Configuration.h"
#include "verbenawell/jobs/shares/WorkspaceLoads.h"

#include <cstdint>

namespace verbenawell::jobs {

/// Returns the time that a CPU time takes with this many millicores, up to an
/// upper limit that is far above all objectives.
Duration
TimeFor(std::uint64_t aCpuTime, std::uint64_t aCpu);

/// The part of a pool's backlog that a workspace has to wait for.
struct FairBacklog
{
  /// Work of all workspaces until the workspace's own is done, in millicores
  /// times microseconds.
  std::uint64_t cpuTimeAhead_ = 0;
  /// The workspace has at least as much work for its weight as all workspaces
  /// together.
  bool isBeyondShare_ = false;
};

/// Computes the work ahead of a workspace whose pool is shared by weight: while
/// the pool does the workspace's own work, each other one gets at most what its
/// weight allows. `aTotal` is the backlog of the whole pool, with that of no
/// workspace. Ahead of a job of no workspace is the whole backlog.
FairBacklog
ComputeFairBacklog(const WorkspaceId& aWorkspace,
                   const WorkspaceLoads::ById& aLoads,
                   std::uint64_t aTotal,
                   const Configuration& aConfiguration);

/// Returns the time that a workspace's own work takes with all of its quota; 0
/// without a limit.
Duration
TimeWithinQuota(const WorkspaceId& aWorkspace,
                const WorkspaceLoads::ById& aLoads,
                const Configuration& aConfiguration);

} // namespace verbenawell::jobs
