#pragma once

#include "verbenawell/core/Time.h"
#include "verbenawell/jobs/journal/JournalRecord.h"
#include "verbenawell/jobs/quotas/QuotaMessages.h"

#include <compare>
#include <cstddef>
#include <map>
#include <optional>
#include <vector>

namespace verbenawell::jobs {

/// Orders the reports of a shard: those of a later owner are newer.
struct QuotaReportId
{
  Epoch epoch_;
  QuotaReportNumber number_;

  auto operator<=>(const QuotaReportId&) const = default;
};

/// Parts to announce, and the records that have to be stored before.
struct QuotaDeal
{
  std::vector<JournalRecord> records_;
  std::vector<QuotaPart> parts_;
};

/// Divides each quota among the shards by their demand. Only the owner of the
/// first shard has one in use.
///
/// A part grows only with a stored record, and shrinks only with a report of
/// its shard that holds less. So the parts in use never add up to more than
/// what is stored.
class QuotaDealer
{
public:
  /// Restores the parts that an earlier owner may have announced.
  void Restore(const QuotaPartsStored& aStored);

  /// Handles a report. `aQuotas` are the quotas as the first shard knows them.
  /// The result is empty for a report that is not the newest of its shard.
  std::optional<QuotaDeal> Apply(
    const QuotaReport& aReport,
    const std::map<WorkspaceId, Resources>& aQuotas,
    ShardCount aShards,
    TimePoint aNow);

private:
  struct StoredPart
  {
    /// At least what the shard may use and what its runs take.
    Resources held_;
    /// The report that the part was decided on.
    QuotaReportId report_;
  };

  struct DealtQuota
  {
    std::map<ShardIndex, StoredPart> parts_;
    /// A record of the parts was requested once.
    bool isStored_ = false;
  };

  struct ShardReport
  {
    QuotaReportId id_;
    TimePoint receivedAt_;
    std::map<WorkspaceId, QuotaDemand> demands_;
  };

  void Record(const QuotaReport& aReport, TimePoint aNow);
  /// Lowers what the shard holds to what it reports. Returns whether the report
  /// is newer than the one on which its stored part was decided.
  bool Lower(const QuotaReport& aReport,
             const WorkspaceId& aWorkspace,
             const Resources& aHeld);
  [[nodiscard]] Resources NewPart(const QuotaReport& aReport,
                                  const QuotaDemand& aDemand,
                                  const Resources& aQuota,
                                  ShardCount aShards,
                                  TimePoint aNow) const;
  [[nodiscard]] QuotaPartsStored RecordOf(const WorkspaceId& aWorkspace) const;

  std::map<WorkspaceId, DealtQuota> dealt_;
  std::map<ShardIndex, ShardReport> reports_;
};

} // namespace verbenawell::jobs
