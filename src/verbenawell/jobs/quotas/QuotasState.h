#pragma once

#include "verbenawell/core/Time.h"
#include "verbenawell/jobs/quotas/QuotaDealer.h"
#include "verbenawell/jobs/quotas/QuotaEvents.h"
#include "verbenawell/jobs/quotas/QuotaMessages.h"
#include "verbenawell/jobs/quotas/QuotaWaits.h"

#include <map>

namespace verbenawell::jobs {

struct Job;

/// The quotas of the workspaces. What they have running is in `WorkersState`.
struct QuotasState
{
  /// A configuration was read, so a workspace without an entry has no quota.
  bool isConfigured_ = false;
  /// By workspace; those that were removed from the configuration keep theirs.
  std::map<WorkspaceId, Resources> quotas_;
  ShardIndex shard_;
  /// Zero until it is known.
  ShardCount shards_;
  /// Only with several shards: the parts of the quotas that this shard may use
  /// under the present epoch.
  std::map<WorkspaceId, Resources> parts_;
  /// The newest report, the only one whose response counts. Its number grows
  /// over all epochs of this process.
  QuotaReportNumber lastReport_;
  TimePoint lastReportAt_;
  bool isTicking_ = false;
  /// As the newest placement pass found them.
  std::map<WorkspaceId, QuotaShortage> shortages_;
  QuotaWaits waits_;
  QuotaDealer dealer_;
};

/// Returns whether a job may run at all, as far as the quota of its workspace
/// is concerned: neither a task nor a gang as a whole exceeds it.
bool
FitsQuota(const Job& aJob, const QuotasState& aQuotas);

} // namespace verbenawell::jobs
