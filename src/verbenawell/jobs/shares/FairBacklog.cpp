#include "verbenawell/jobs/shares/FairBacklog.h"

#include "verbenawell/core/Saturating.h"

#include <algorithm>

namespace verbenawell::jobs {

namespace {

constexpr std::uint64_t kMicrosecondsPerSecond = 1'000'000;
// Longer than any objective; sums with it do not overflow.
constexpr std::uint64_t kMaxMicroseconds = std::uint64_t{ 1 } << 60U;

std::uint64_t
CpuTimeOf(const WorkspaceId& aWorkspace, const WorkspaceLoads::ById& aLoads)
{
  const auto load = aLoads.find(aWorkspace);
  return load == aLoads.end() ? 0
                              : SaturatingMultiply(load->second.cpuSeconds_,
                                                   kMicrosecondsPerSecond);
}

} // namespace

Duration
TimeFor(std::uint64_t aCpuTime, std::uint64_t aCpu)
{
  return Duration{ static_cast<Duration::rep>(
    std::min(aCpuTime / aCpu, kMaxMicroseconds)) };
}

FairBacklog
ComputeFairBacklog(const WorkspaceId& aWorkspace,
                   const WorkspaceLoads::ById& aLoads,
                   std::uint64_t aTotal,
                   const Configuration& aConfiguration)
{
  FairBacklog backlog{ aTotal, false };
  const Workspace* own = aConfiguration.Find(aWorkspace);
  if (own == nullptr) {
    return backlog;
  }
  const auto ownWork = static_cast<double>(CpuTimeOf(aWorkspace, aLoads));
  const double weight = own->weight_.Value();
  double ofWorkspaces = 0;
  double weights = 0;
  double ahead = 0;
  for (const Workspace& workspace : *aConfiguration.workspaces_) {
    const auto work = static_cast<double>(CpuTimeOf(workspace.id_, aLoads));
    if (work == 0) {
      continue;
    }
    ofWorkspaces += work;
    weights += workspace.weight_.Value();
    if (weight > 0) {
      ahead += std::min(work, ownWork * workspace.weight_.Value() / weight);
    }
  }
  backlog.isBeyondShare_ = ownWork * weights >= weight * ofWorkspaces;
  if (weight > 0) {
    // The work of no workspace is not held back by a share.
    const auto total = static_cast<double>(aTotal);
    ahead += std::max(0.0, total - ofWorkspaces);
    if (ahead < total) {
      backlog.cpuTimeAhead_ = static_cast<std::uint64_t>(ahead);
    }
  }
  return backlog;
}

Duration
TimeWithinQuota(const WorkspaceId& aWorkspace,
                const WorkspaceLoads::ById& aLoads,
                const Configuration& aConfiguration)
{
  const Workspace* workspace = aConfiguration.Find(aWorkspace);
  return workspace == nullptr || workspace->quota_.cpu_ == MilliCores{}
           ? Duration{}
           : TimeFor(CpuTimeOf(aWorkspace, aLoads),
                     workspace->quota_.cpu_.Value());
}

} // namespace verbenawell::jobs
