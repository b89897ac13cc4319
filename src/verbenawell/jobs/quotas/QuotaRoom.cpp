#include "verbenawell/jobs/quotas/QuotaRoom.h"

#include "verbenawell/jobs/quotas/QuotaDivision.h"
#include "verbenawell/jobs/quotas/QuotaUsage.h"
#include "verbenawell/jobs/quotas/QuotasState.h"

#include <algorithm>
#include <limits>

namespace verbenawell::jobs {

namespace {

constexpr Resources kUnlimited{
  MilliCores{ std::numeric_limits<std::uint64_t>::max() },
  Megabytes{ std::numeric_limits<std::uint64_t>::max() },
  Accelerators{ std::numeric_limits<std::uint32_t>::max() }
};

/// What this shard may use of a quota; a resource without a limit is unlimited.
Resources
LimitOf(const WorkspaceId& aWorkspace, const QuotasState& aQuotas)
{
  if (!aQuotas.isConfigured_) {
    return {};
  }
  const auto quota = aQuotas.quotas_.find(aWorkspace);
  if (quota == aQuotas.quotas_.end()) {
    return kUnlimited;
  }
  const auto part = aQuotas.parts_.find(aWorkspace);
  const ResourceAmounts amounts = ToAmounts(quota->second);
  const ResourceAmounts dealt =
    ToAmounts(part == aQuotas.parts_.end() ? Resources{} : part->second);
  ResourceAmounts limit = ToAmounts(kUnlimited);
  for (std::size_t kind = 0; kind < limit.size(); ++kind) {
    if (amounts[kind] > 0) {
      limit[kind] = aQuotas.shards_ == ShardCount{ 1 }
                      ? amounts[kind]
                      : std::min(amounts[kind], dealt[kind]);
    }
  }
  return ToResources(limit);
}

Resources
Times(const Resources& aResources, TaskCount aTasks)
{
  ResourceAmounts amounts = ToAmounts(aResources);
  for (std::uint64_t& amount : amounts) {
    amount *= aTasks.Value();
  }
  return ToResources(amounts);
}

} // namespace

// Counts the declared processor time of best-effort tasks too, which takes
// nothing of a worker's capacity: a quota limits what a workspace runs, not
// what the workers reserve for it.
bool
QuotaRoom::Fits(const WorkspaceId& aWorkspace,
                const Step& aStep,
                TaskCount aTasks,
                TaskCount aWaiting)
{
  if (aWorkspace.IsEmpty()) {
    return true;
  }
  const Resources required = Times(aStep.resources_, aTasks);
  if (LeftFor(aWorkspace).Fits(required)) {
    return true;
  }
  QuotaShortage& shortage = shortages_[aWorkspace];
  shortage.wanted_ += Times(aStep.resources_, aWaiting);
  shortage.largest_ = Max(shortage.largest_, required);
  return false;
}

void
QuotaRoom::Take(const WorkspaceId& aWorkspace, const Step& aStep)
{
  if (!aWorkspace.IsEmpty()) {
    LeftFor(aWorkspace) -= aStep.resources_;
  }
}

Resources&
QuotaRoom::LeftFor(const WorkspaceId& aWorkspace)
{
  const auto [entry, isNew] = left_.try_emplace(aWorkspace);
  if (isNew) {
    entry->second = LimitOf(aWorkspace, quotas_);
    entry->second -= usage_.Of(aWorkspace);
  }
  return entry->second;
}

bool
FitsQuota(const Job& aJob, const QuotasState& aQuotas)
{
  const auto quota = aQuotas.quotas_.find(aJob.workspace_);
  if (aJob.workspace_.IsEmpty() || quota == aQuotas.quotas_.end()) {
    return true;
  }
  const ResourceAmounts limit = ToAmounts(quota->second);
  return std::ranges::all_of(aJob.definition_.steps_, [&](const Step& aStep) {
    const ResourceAmounts required = ToAmounts(
      Times(aStep.resources_, aStep.gang_ ? aStep.count_ : TaskCount{ 1 }));
    for (std::size_t kind = 0; kind < limit.size(); ++kind) {
      if (limit[kind] > 0 && required[kind] > limit[kind]) {
        return false;
      }
    }
    return true;
  });
}

} // namespace verbenawell::jobs
