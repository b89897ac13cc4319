#pragma once

#include "verbenawell/jobs/model/Ids.h"
#include "verbenawell/jobs/model/Resources.h"

#include <map>

namespace verbenawell::jobs {

/// What a run takes of the quota of its workspace.
struct QuotaCharge
{
  /// Empty for a run that counts against no quota.
  WorkspaceId workspace_;
  /// As the job's caller declared them.
  Resources resources_;
};

/// The sum of the charges of each workspace.
class QuotaUsage
{
public:
  void Add(const QuotaCharge& aCharge);
  void Remove(const QuotaCharge& aCharge);
  [[nodiscard]] Resources Of(const WorkspaceId& aWorkspace) const;
  /// The workspaces that have runs.
  [[nodiscard]] const std::map<WorkspaceId, Resources>& All() const
  {
    return used_;
  }

private:
  std::map<WorkspaceId, Resources> used_;
};

} // namespace verbenawell::jobs
