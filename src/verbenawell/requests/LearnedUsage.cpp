#include "verbenawell/requests/LearnedUsage.h"

#include "verbenawell/fleet/FleetState.h"
#include "verbenawell/requests/SlotGranting.h"

#include <algorithm>
#include <set>

namespace verbenawell {

namespace {

// Age at which a usage value is dropped. Until then the last value counts.
constexpr Duration kUsageLifetime = std::chrono::seconds(10);

constexpr double kPerMille = 1000.0;

/// The larger of the used fractions of cores and memory.
UsedPerMille
UsedPerMilleOf(const Usage& aUsed, const Resources& aSize)
{
  const auto part = [](std::uint64_t aUse, std::uint64_t aOf) {
    return aOf == 0 ? 0.0
                    : static_cast<double>(aUse) / static_cast<double>(aOf);
  };
  // Used cores are in thousandths, so this quotient is in thousandths already.
  const double cores = part(aUsed.cores_.Value(), aSize.cores_.Value());
  const double memory =
    part(aUsed.memory_.Value(), aSize.memory_.Value()) * kPerMille;
  const double usedPerMille = std::min(std::max(cores, memory), kPerMille);
  return UsedPerMille{ static_cast<std::uint32_t>(usedPerMille) };
}

/// Tells whether the report has not been read before. The platform returns the
/// same report until it has a newer one.
bool
IsNew(const PoolQueue& aQueue, const UsageReport& aReport)
{
  const auto last = aQueue.lastReportTimes_.find(aReport.vm_);
  return last == aQueue.lastReportTimes_.end() || last->second < aReport.at_;
}

void
RecordUsage(OwnerScope& aScope, PoolQueue& aQueue, const UsageReport& aReport)
{
  const VmState& vm = aScope.views_.fleet_.vms_.at(aReport.vm_);
  const TimePoint until = aScope.context_.now_ - aReport.age_ + kUsageLifetime;
  if (const auto old = aQueue.usageValidUntil_.find(aReport.vm_);
      old != aQueue.usageValidUntil_.end()) {
    aQueue.usageExpiries_.erase({ old->second, aReport.vm_ });
  }
  aQueue.usageValidUntil_[aReport.vm_] = until;
  aQueue.usageExpiries_.emplace(until, aReport.vm_);
  aQueue.workers_.SetUsage(aReport.vm_,
                           UsedPerMilleOf(aReport.used_, vm.facts_.size_));
}

void
Apply(OwnerScope& aScope, PoolQueue& aQueue, const UsageReport& aReport)
{
  if (aReport.age_ >= kUsageLifetime) {
    aScope.effects_.emplace_back(Count{ Counter::UsageReportsStale });
    return;
  }
  if (!IsNew(aQueue, aReport)) {
    return;
  }
  aScope.effects_.emplace_back(Count{ Counter::UsageReportsRead });
  aQueue.lastReportTimes_[aReport.vm_] = aReport.at_;
  RecordUsage(aScope, aQueue, aReport);
  for (const ServiceUsage& usage : aReport.services_) {
    if (const auto size = aQueue.sizes_.find(usage.service_);
        size != aQueue.sizes_.end()) {
      size->second.Learn(usage);
    }
  }
}

/// The queue of the VM's pool; null if this daemon does not own the pool.
PoolQueue*
FindPoolOf(OwnerScope& aScope, const VmId& aVm)
{
  const FleetState& fleet = aScope.views_.fleet_;
  const auto vm = fleet.vms_.find(aVm);
  if (vm == fleet.vms_.end()) {
    return nullptr;
  }
  const auto pool = aScope.owner_.pools_.find(vm->second.pool_);
  return pool == aScope.owner_.pools_.end() ? nullptr : &pool->second;
}

} // namespace

void
RequestUsage(OwnerScope& aScope)
{
  std::set<VmId>& requested = aScope.owner_.usageRequested_;
  requested.clear();
  for (const auto& [id, queue] : aScope.owner_.pools_) {
    const auto& pools = aScope.views_.fleet_.pools_;
    if (const auto pool = pools.find(id); pool != pools.end()) {
      requested.insert(pool->second.vms_.begin(), pool->second.vms_.end());
    }
  }
  if (!requested.empty()) {
    aScope.effects_.emplace_back(
      ReadUsage{ { requested.begin(), requested.end() } });
  }
}

void
ApplyUsage(OwnerScope& aScope, const UsageRead& aRead)
{
  std::set<VmId>& requested = aScope.owner_.usageRequested_;
  for (const UsageReport& report : aRead.reports_) {
    if (requested.erase(report.vm_) == 0) {
      continue;
    }
    if (PoolQueue* queue = FindPoolOf(aScope, report.vm_)) {
      Apply(aScope, *queue, report);
    }
  }
  for (std::size_t missing = 0; missing < requested.size(); ++missing) {
    aScope.effects_.emplace_back(Count{ Counter::UsageReportsMissing });
  }
  requested.clear();
  // A blocked request may fit on a worker with its new size.
  for (auto& [id, queue] : aScope.owner_.pools_) {
    const std::set<ShareKey> blocked = queue.queue_.Blocked();
    for (const ShareKey& share : blocked) {
      queue.queue_.Unblock(share);
    }
    GrantFreeSlots(aScope, id, queue);
  }
}

void
ExpireUsage(OwnerScope& aScope, PoolQueue& aQueue)
{
  auto& expiries = aQueue.usageExpiries_;
  while (!expiries.empty() && expiries.begin()->first <= aScope.context_.now_) {
    const VmId vm = expiries.begin()->second;
    expiries.erase(expiries.begin());
    aQueue.usageValidUntil_.erase(vm);
    aQueue.workers_.SetUsage(vm, {});
  }
}

void
DropUsage(PoolQueue& aQueue, const VmId& aVm)
{
  if (const auto validUntil = aQueue.usageValidUntil_.find(aVm);
      validUntil != aQueue.usageValidUntil_.end()) {
    aQueue.usageExpiries_.erase({ validUntil->second, aVm });
    aQueue.usageValidUntil_.erase(validUntil);
  }
  aQueue.lastReportTimes_.erase(aVm);
}

Resources
CorrectedSize(const PoolQueue& aQueue,
              const ServiceId& aService,
              const Resources& aDeclared)
{
  const auto size = aQueue.sizes_.find(aService);
  return size == aQueue.sizes_.end() ? aDeclared
                                     : size->second.Correct(aDeclared);
}

Resources
ReservedSize(const PoolQueue& aQueue,
             const ServiceId& aService,
             const Resources& aDeclared)
{
  return aQueue.workers_.LimitToWorker(
    CorrectedSize(aQueue, aService, aDeclared));
}

} // namespace verbenawell
