#include "verbenawell/jobs/quotas/QuotaUsage.h"

namespace verbenawell::jobs {

void
QuotaUsage::Add(const QuotaCharge& aCharge)
{
  if (!aCharge.workspace_.IsEmpty()) {
    used_[aCharge.workspace_] += aCharge.resources_;
  }
}

void
QuotaUsage::Remove(const QuotaCharge& aCharge)
{
  const auto found = used_.find(aCharge.workspace_);
  if (found == used_.end()) {
    return;
  }
  found->second -= aCharge.resources_;
  if (found->second == Resources{}) {
    used_.erase(found);
  }
}

Resources
QuotaUsage::Of(const WorkspaceId& aWorkspace) const
{
  const auto found = used_.find(aWorkspace);
  return found == used_.end() ? Resources{} : found->second;
}

} // namespace verbenawell::jobs
