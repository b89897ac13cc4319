#pragma once

#include "verbenawell/jobs/model/Job.h"
#include "verbenawell/jobs/quotas/QuotaEvents.h"

#include <map>

namespace verbenawell::jobs {

struct QuotasState;
class QuotaUsage;

/// What the workspaces may still start during one placement pass.
class QuotaRoom
{
public:
  QuotaRoom(const QuotasState& aQuotas, const QuotaUsage& aUsage)
    : quotas_(aQuotas)
    , usage_(aUsage)
  {
  }

  /// Returns whether this many tasks of a step may start together. Otherwise
  /// notes that the step's waiting tasks lack the quota.
  bool Fits(const WorkspaceId& aWorkspace,
            const Step& aStep,
            TaskCount aTasks,
            TaskCount aWaiting);
  void Take(const WorkspaceId& aWorkspace, const Step& aStep);

  [[nodiscard]] const std::map<WorkspaceId, QuotaShortage>& Shortages() const
  {
    return shortages_;
  }

private:
  Resources& LeftFor(const WorkspaceId& aWorkspace);

  const QuotasState& quotas_;
  const QuotaUsage& usage_;
  std::map<WorkspaceId, Resources> left_;
  std::map<WorkspaceId, QuotaShortage> shortages_;
};

} // namespace verbenawell::jobs
