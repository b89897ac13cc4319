#pragma once

#include "verbenawell/jobs/model/Configuration.h"

#include <optional>
#include <string_view>
#include <unordered_map>

namespace verbenawell::jobs {

/// Returns the largest share that a use takes of any resource of a pool. A
/// resource that the pool lacks does not count.
double
DominantShare(const Resources& aUsed, const Resources& aPool);

/// Returns a load or rate divided by the weight of its workspace. With a weight
/// of 0 the result exceeds that of all other workspaces.
double
PerWeight(double aLoad, WorkspaceWeight aWeight);

/// Finds the weights of workspaces. Refers to the configuration that it was
/// made of, and reads it when a weight is first needed.
class WorkspaceWeights
{
public:
  explicit WorkspaceWeights(const std::optional<Configuration>& aConfiguration)
    : configuration_(aConfiguration)
  {
  }

  /// The weight of a workspace. It is 0 for a workspace that is not configured
  /// any more: its remaining jobs use what the others leave.
  [[nodiscard]] WorkspaceWeight Of(const WorkspaceId& aWorkspace);

private:
  void ReadWeights();

  const std::optional<Configuration>& configuration_;
  bool areRead_ = false;
  std::unordered_map<std::string_view, WorkspaceWeight> weights_;
};

} // namespace verbenawell::jobs
