#include "verbenawell/requests/PoolWorkers.h"

#include "verbenawell/core/Overloaded.h"
#include "verbenawell/fleet/FleetState.h"
#include "verbenawell/membership/Ownership.h"
#include "verbenawell/requests/LearnedUsage.h"
#include "verbenawell/requests/RequestsState.h"

#include <algorithm>
#include <cstddef>
#include <optional>
#include <vector>

namespace verbenawell {

namespace {

WorkerAvailability
UseOf(const OwnerScope& aScope, const VmState& aVm)
{
  const bool leaving = aScope.owner_.leaving_.contains(aVm.facts_.vm_);
  const bool stays = !aVm.draining_ && aVm.movingTo_.IsEmpty() && !leaving;
  return { IsServing(aVm) && !leaving, stays };
}

bool
TakesNoWork(const OwnerScope& aScope, const PoolId& aPool, const VmId& aVm)
{
  const FleetState& fleet = aScope.views_.fleet_;
  const auto vm = fleet.vms_.find(aVm);
  return vm == fleet.vms_.end() || vm->second.pool_ != aPool ||
         !UseOf(aScope, vm->second).usable_;
}

/// Updates the slot count of the queue, and unblocks all shares because their
/// requests may fit now.
void
HandleWorkersChanged(PoolQueue& aQueue)
{
  aQueue.queue_.SetSlots(aQueue.workers_.UsableSlots());
  const std::set<ShareKey> blocked = aQueue.queue_.Blocked();
  for (const ShareKey& key : blocked) {
    aQueue.queue_.Unblock(key);
  }
}

/// Removes a VM that has been moved to another pool or removed from the fleet.
void
RemoveWorker(OwnerScope& aScope,
             const PoolId& aPool,
             PoolQueue& aQueue,
             const VmId& aVm)
{
  aQueue.workers_.Remove(aVm);
  aQueue.health_.erase(aVm);
  aQueue.unhealthy_.erase(aVm);
  DropUsage(aQueue, aVm);
  HandleWorkersChanged(aQueue);
  ReportIfDrained(aScope, aPool, aVm);
}

/// Tells whether the availability budgets of the pool's services hold without
/// this worker. Readmitted workers do not count as serving: they have not
/// recovered yet and may be ejected again at any time.
bool
MayEject(const OwnerScope& aScope,
         const PoolId& aPool,
         const PoolQueue& aQueue,
         const VmId& aVm)
{
  const FleetState& fleet = aScope.views_.fleet_;
  const auto pool = fleet.pools_.find(aPool);
  if (pool == fleet.pools_.end()) {
    return false;
  }
  VmCount minServing{ 1 };
  for (const ServiceId& service : pool->second.services_) {
    minServing = std::max(minServing, fleet.services_.at(service).budget_);
  }
  const auto unproven =
    std::ranges::count_if(aQueue.unhealthy_, [&](const VmId& aOther) {
      return aOther != aVm &&
             aQueue.health_.at(aOther).Cap(SlotCount{ 1 }) > SlotCount{};
    });
  const auto serving =
    static_cast<std::ptrdiff_t>(aQueue.workers_.Serving().Value());
  return serving - unproven > static_cast<std::ptrdiff_t>(minServing.Value());
}

/// Tells whether the attempt failed because of its worker. Empty if the outcome
/// gives no information about the worker.
std::optional<bool>
IsFailure(const AttemptOutcome& aOutcome)
{
  constexpr int kServerError = 500;
  return std::visit(
    Overloaded{
      [](const CompleteResponse& aResponse) {
        return std::optional{ aResponse.status_ >= kServerError };
      },
      [](const OversizeResponse&) { return std::optional<bool>{}; },
      [](const Cancelled&) { return std::optional<bool>{}; },
      [](const Unused&) { return std::optional<bool>{}; },
      [](const auto&) { return std::optional{ true }; },
    },
    aOutcome);
}

void
ApplyHealth(OwnerScope& aScope,
            PoolQueue& aQueue,
            const VmId& aVm,
            HealthChange aChange)
{
  switch (aChange) {
    case HealthChange::None:
      break;
    case HealthChange::Ejected:
      aScope.effects_.emplace_back(Count{ Counter::WorkersEjected });
      break;
    case HealthChange::Probed:
      aScope.effects_.emplace_back(Count{ Counter::WorkersProbed });
      break;
    case HealthChange::Recovered:
      aScope.effects_.emplace_back(Count{ Counter::WorkersRecovered });
      break;
  }
  const WorkerHealth& health = aQueue.health_.at(aVm);
  if (health.IsHealthy()) {
    aQueue.unhealthy_.erase(aVm);
    aQueue.workers_.ClearCap(aVm);
  } else {
    const VmState& vm = aScope.views_.fleet_.vms_.at(aVm);
    aQueue.unhealthy_.insert(aVm);
    aQueue.workers_.SetCap(
      aVm, health.Cap(vm.facts_.slots_), health.IsOnProbation());
  }
  HandleWorkersChanged(aQueue);
}

/// Resets the health of a worker that has rebooted, as a reboot usually clears
/// the cause of its failures. Without this reset, a worker on probation would
/// stay so in a pool without idempotent requests, which probes need.
void
ForgetHealthAfterReboot(PoolQueue& aQueue, const VmFacts& aFacts)
{
  if (aQueue.workers_.Boots(aFacts.vm_) < aFacts.boots_ &&
      aQueue.health_.erase(aFacts.vm_) > 0) {
    aQueue.unhealthy_.erase(aFacts.vm_);
    aQueue.workers_.ClearCap(aFacts.vm_);
  }
}

} // namespace

PoolQueue&
FindOrAddPool(OwnerScope& aScope, const PoolId& aPool)
{
  const auto [entry, isNew] = aScope.owner_.pools_.try_emplace(aPool);
  PoolQueue& queue = entry->second;
  const FleetState& fleet = aScope.views_.fleet_;
  if (const auto pool = fleet.pools_.find(aPool);
      isNew && pool != fleet.pools_.end()) {
    for (const VmId& id : pool->second.vms_) {
      const VmState& vm = fleet.vms_.at(id);
      queue.workers_.Put(vm.facts_, UseOf(aScope, vm));
    }
    HandleWorkersChanged(queue);
  }
  return queue;
}

void
SyncWorker(OwnerScope& aScope, const VmId& aVm)
{
  const FleetState& fleet = aScope.views_.fleet_;
  const auto vm = fleet.vms_.find(aVm);
  const bool known = vm != fleet.vms_.end();
  for (auto& [id, queue] : aScope.owner_.pools_) {
    const bool belongs = known && vm->second.pool_ == id;
    if (!belongs && queue.workers_.Contains(aVm)) {
      RemoveWorker(aScope, id, queue, aVm);
    } else if (belongs) {
      ForgetHealthAfterReboot(queue, vm->second.facts_);
      queue.workers_.Put(vm->second.facts_, UseOf(aScope, vm->second));
      HandleWorkersChanged(queue);
    }
  }
  if (known) {
    ReportIfDrained(aScope, vm->second.pool_, aVm);
  }
}

void
ApplyVmList(OwnerScope& aScope, const VmListRead& aList)
{
  std::unordered_set<VmId>& leaving = aScope.owner_.leaving_;
  std::vector<VmId> changed;
  std::unordered_set<VmId> now;
  for (const VmListing& listing : aList.vms_) {
    const VmId& vm = listing.facts_.vm_;
    const bool leaves = listing.leaving_ || !listing.live_;
    if (leaves) {
      now.insert(vm);
    }
    if (leaves != leaving.contains(vm)) {
      changed.push_back(vm);
    }
  }
  leaving = std::move(now);
  for (const VmId& vm : changed) {
    SyncWorker(aScope, vm);
  }
}

void
ReportIfDrained(OwnerScope& aScope, const PoolId& aPool, const VmId& aVm)
{
  if (OwnerOfPool(aScope.views_.membership_, aPool) != aScope.context_.self_ ||
      !TakesNoWork(aScope, aPool, aVm)) {
    return;
  }
  const auto fleetPool = aScope.views_.fleet_.pools_.find(aPool);
  const bool mayHaveWork = fleetPool == aScope.views_.fleet_.pools_.end() ||
                           !fleetPool->second.spare_ ||
                           !fleetPool->second.services_.empty();
  if (mayHaveWork && DeadMemberMayRunRequests(aScope.views_.membership_,
                                              aScope.context_.wallNow_)) {
    return;
  }
  // A member whose report is missing may run attempts on the VM that are not
  // known here, also after the queue has been opened without its report.
  const auto& owned = aScope.views_.requests_.takeover_.owned_;
  const auto claim = owned.find(aPool);
  const bool complete = claim == owned.end() || claim->second.awaited_.empty();
  const auto pool = aScope.owner_.pools_.find(aPool);
  if (complete && pool != aScope.owner_.pools_.end() &&
      pool->second.workers_.Running(aVm) == SlotCount{}) {
    aScope.effects_.emplace_back(Raise{ PoolDrained{ aPool, aVm } });
  }
}

void
RecordHealth(OwnerScope& aScope,
             const PoolId& aPool,
             PoolQueue& aQueue,
             const VmId& aVm,
             const AttemptOutcome& aOutcome)
{
  const std::optional<bool> failed = IsFailure(aOutcome);
  const FleetState& fleet = aScope.views_.fleet_;
  const auto vm = fleet.vms_.find(aVm);
  if (!failed || vm == fleet.vms_.end() || vm->second.pool_ != aPool) {
    return;
  }
  WorkerHealth& health = aQueue.health_[aVm];
  const bool wasHealthy = health.IsHealthy();
  const HealthChange change =
    health.Record(*failed,
                  MayEject(aScope, aPool, aQueue, aVm),
                  vm->second.facts_.slots_,
                  aScope.context_.now_);
  if (!wasHealthy || !health.IsHealthy()) {
    ApplyHealth(aScope, aQueue, aVm, change);
  }
}

void
ProbeWorkers(OwnerScope& aScope, PoolQueue& aQueue)
{
  const std::set<VmId> unhealthy = aQueue.unhealthy_;
  for (const VmId& vm : unhealthy) {
    const HealthChange change =
      aQueue.health_.at(vm).Advance(aScope.context_.now_);
    if (change != HealthChange::None) {
      ApplyHealth(aScope, aQueue, vm, change);
    }
  }
}

} // namespace verbenawell
