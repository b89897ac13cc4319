#include "verbenawell/jobs/quotas/QuotaDealer.h"

#include "verbenawell/jobs/quotas/QuotaDivision.h"

#include <algorithm>
#include <chrono>
#include <set>
#include <utility>

namespace verbenawell::jobs {

namespace {

using namespace std::chrono_literals;

// An owner reports twice a second and more often while its tasks wait. What an
// older report lacks is not kept for its shard.
constexpr Duration kMaxReportAge = 3s;

Resources
HeldBy(const QuotaDemand& aDemand)
{
  return Max(aDemand.part_, aDemand.used_);
}

} // namespace

void
QuotaDealer::Restore(const QuotaPartsStored& aStored)
{
  DealtQuota& dealt = dealt_[aStored.workspace_];
  dealt.isStored_ = true;
  for (const StoredQuotaPart& part : aStored.parts_) {
    dealt.parts_[part.shard_] = { part.held_, { part.epoch_, part.report_ } };
  }
}

std::optional<QuotaDeal>
QuotaDealer::Apply(const QuotaReport& aReport,
                   const std::map<WorkspaceId, Resources>& aQuotas,
                   ShardCount aShards,
                   TimePoint aNow)
{
  const QuotaReportId id{ aReport.epoch_, aReport.number_ };
  if (aReport.shard_.Value() >= aShards.Value() ||
      id <= reports_[aReport.shard_].id_) {
    return std::nullopt;
  }
  Record(aReport, aNow);
  std::set<WorkspaceId> reported;
  QuotaDeal deal;
  for (const QuotaDemand& demand : aReport.demands_) {
    reported.insert(demand.workspace_);
    const Resources held = HeldBy(demand);
    if (!Lower(aReport, demand.workspace_, held)) {
      continue;
    }
    const auto known = aQuotas.find(demand.workspace_);
    const Resources& quota =
      known == aQuotas.end() ? demand.quota_ : known->second;
    const Resources part = NewPart(aReport, demand, quota, aShards, aNow);
    if (part == demand.part_) {
      continue;
    }
    deal.parts_.push_back({ demand.workspace_, part });
    // The response lets the shard use more than before, so a later owner of the
    // first shard has to know of it.
    if (demand.part_.Fits(part)) {
      continue;
    }
    DealtQuota& dealt = dealt_[demand.workspace_];
    dealt.parts_[aReport.shard_].held_ = Max(held, part);
    dealt.isStored_ = true;
    deal.records_.emplace_back(RecordOf(demand.workspace_));
  }
  for (const auto& [workspace, dealt] : dealt_) {
    if (!reported.contains(workspace)) {
      Lower(aReport, workspace, {});
    }
  }
  return deal;
}

void
QuotaDealer::Record(const QuotaReport& aReport, TimePoint aNow)
{
  ShardReport& report = reports_[aReport.shard_];
  report = { { aReport.epoch_, aReport.number_ }, aNow, {} };
  for (const QuotaDemand& demand : aReport.demands_) {
    report.demands_.insert_or_assign(demand.workspace_, demand);
  }
}

bool
QuotaDealer::Lower(const QuotaReport& aReport,
                   const WorkspaceId& aWorkspace,
                   const Resources& aHeld)
{
  StoredPart& part = dealt_[aWorkspace].parts_[aReport.shard_];
  const QuotaReportId id{ aReport.epoch_, aReport.number_ };
  if (id <= part.report_) {
    return false;
  }
  part = { aHeld, id };
  return true;
}

// A part changes only if a shard waits for it or has far less than its division
// gives it: each growth costs a record.
Resources
QuotaDealer::NewPart(const QuotaReport& aReport,
                     const QuotaDemand& aDemand,
                     const Resources& aQuota,
                     ShardCount aShards,
                     TimePoint aNow) const
{
  const DealtQuota& dealt = dealt_.at(aDemand.workspace_);
  // Without a record nothing tells what the shards that have not reported yet
  // hold.
  if (!dealt.isStored_ && reports_.size() < aShards.Value()) {
    return aDemand.part_;
  }
  std::vector<ShardNeed> needs(aShards.Value());
  ResourceAmounts heldByOthers{};
  bool isAnyOtherWaiting = false;
  for (std::uint32_t index = 0; index < aShards.Value(); ++index) {
    const ShardIndex shard{ index };
    const auto part = dealt.parts_.find(shard);
    const Resources held =
      part == dealt.parts_.end() ? Resources{} : part->second.held_;
    ShardNeed& need = needs[index];
    const auto report = reports_.find(shard);
    if (report == reports_.end() ||
        aNow - report->second.receivedAt_ > kMaxReportAge) {
      need.used_ = held;
    } else if (const auto demand =
                 report->second.demands_.find(aDemand.workspace_);
               demand != report->second.demands_.end()) {
      need = { demand->second.used_,
               demand->second.wanted_,
               demand->second.largest_ };
    }
    if (shard != aReport.shard_) {
      isAnyOtherWaiting |= need.wanted_ != Resources{};
      const ResourceAmounts amounts = ToAmounts(held);
      for (std::size_t kind = 0; kind < amounts.size(); ++kind) {
        heldByOthers[kind] += amounts[kind];
      }
    }
  }
  const ResourceAmounts quota = ToAmounts(aQuota);
  const ResourceAmounts target =
    ToAmounts(Divide(aQuota, needs, aNow)[aReport.shard_.Value()]);
  ResourceAmounts part = ToAmounts(aDemand.part_);
  const bool isWaiting = aDemand.wanted_ != Resources{};
  for (std::size_t kind = 0; kind < part.size(); ++kind) {
    const std::uint64_t available =
      quota[kind] - std::min(quota[kind], heldByOthers[kind]);
    if (quota[kind] == 0) {
      part[kind] = 0;
    } else if (part[kind] > available) {
      part[kind] = std::min(target[kind], available);
    } else if (part[kind] < target[kind]) {
      if (isWaiting || part[kind] < target[kind] / 2) {
        part[kind] = std::max(part[kind], std::min(target[kind], available));
      }
    } else if (isAnyOtherWaiting) {
      part[kind] = target[kind];
    }
  }
  return ToResources(part);
}

QuotaPartsStored
QuotaDealer::RecordOf(const WorkspaceId& aWorkspace) const
{
  QuotaPartsStored stored{ aWorkspace, {} };
  for (const auto& [shard, part] : dealt_.at(aWorkspace).parts_) {
    stored.parts_.push_back(
      { shard, part.held_, part.report_.epoch_, part.report_.number_ });
  }
  return stored;
}

} // namespace verbenawell::jobs
