#include "verbenawell/jobs/shares/Shares.h"

#include <algorithm>
#include <limits>
#include <utility>

namespace verbenawell::jobs {

namespace {

template<typename Amount>
double
ShareOf(Amount aUsed, Amount aTotal)
{
  return aTotal == Amount{} ? 0.0
                            : static_cast<double>(aUsed.Value()) /
                                static_cast<double>(aTotal.Value());
}

} // namespace

double
DominantShare(const Resources& aUsed, const Resources& aPool)
{
  return std::max({ ShareOf(aUsed.cpu_, aPool.cpu_),
                    ShareOf(aUsed.memory_, aPool.memory_),
                    ShareOf(aUsed.accelerators_, aPool.accelerators_) });
}

double
PerWeight(double aLoad, WorkspaceWeight aWeight)
{
  return aWeight > WorkspaceWeight{} ? aLoad / aWeight.Value()
                                     : std::numeric_limits<double>::infinity();
}

WorkspaceWeight
WorkspaceWeights::Of(const WorkspaceId& aWorkspace)
{
  if (!std::exchange(areRead_, true)) {
    ReadWeights();
  }
  const auto found = weights_.find(aWorkspace.Value());
  return found == weights_.end() ? WorkspaceWeight{} : found->second;
}

void
WorkspaceWeights::ReadWeights()
{
  if (!configuration_ || !configuration_->workspaces_) {
    return;
  }
  weights_.reserve(configuration_->workspaces_->size());
  for (const Workspace& workspace : *configuration_->workspaces_) {
    weights_.emplace(workspace.id_.Value(), workspace.weight_);
  }
}

} // namespace verbenawell::jobs
