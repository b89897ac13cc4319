#pragma once

#include "verbenawell/jobs/model/Ids.h"
#include "verbenawell/jobs/model/Resources.h"

#include <cstdint>
#include <memory>
#include <vector>

namespace verbenawell::jobs {

/// Numbers the reports that a process sends for a shard, from 1.
using QuotaReportNumber = Quantity<struct QuotaReportNumberTag, std::uint64_t>;

/// What a shard uses and lacks of a workspace's quota.
struct QuotaDemand
{
  WorkspaceId workspace_;
  /// The part that the shard may use.
  Resources part_;
  /// What its runs take, which may be more than its part.
  Resources used_;
  /// What the tasks need that the part keeps waiting.
  Resources wanted_;
  /// The most that one of these tasks, or one gang as a whole, needs.
  Resources largest_;
  /// The quota as this shard knows it; a resource of 0 has no limit.
  Resources quota_;
};

/// The demands of a shard, as its owner sends them to the owner of the first
/// shard. The sender ignores responses to earlier reports.
struct QuotaReport
{
  ShardIndex shard_;
  Epoch epoch_;
  QuotaReportNumber number_;
  /// A workspace that is missing has no part and no runs in the shard.
  std::vector<QuotaDemand> demands_;
};

/// Only between shards: asks the first shard for parts of the quotas.
struct ReportQuotas
{
  std::shared_ptr<const QuotaReport> report_;
};

/// The part of a workspace's quota that one shard may use from now on.
struct QuotaPart
{
  WorkspaceId workspace_;
  Resources part_;
};

/// The parts that change with this response. The others remain.
struct QuotasDealt
{
  QuotaReportNumber report_;
  std::vector<QuotaPart> parts_{};
};

} // namespace verbenawell::jobs
