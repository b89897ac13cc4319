#include "verbenawell/requests/SlotReturn.h"

#include "verbenawell/fleet/FleetState.h"
#include "verbenawell/requests/OwnerState.h"
#include "verbenawell/requests/SlotGranting.h"

namespace verbenawell {

void
ReleaseSlot(OwnerScope& aScope, const SlotRelease& aRelease)
{
  const auto pool = aScope.owner_.pools_.find(aRelease.pool_);
  if (pool == aScope.owner_.pools_.end()) {
    return;
  }
  PoolQueue& queue = pool->second;
  if (const auto slot = queue.granted_.find(aRelease.attempt_);
      slot != queue.granted_.end()) {
    --queue.running_[slot->second.vm_];
    queue.granted_.erase(slot);
  }
  ReportIfDrained(aScope, aRelease.vm_);
  GrantFreeSlots(aScope, pool->first, queue);
}

void
ReportIfDrained(OwnerScope& aScope, const VmId& aVm)
{
  const FleetState& fleet = aScope.views_.fleet_;
  const auto found = fleet.vms_.find(aVm);
  if (found == fleet.vms_.end() || IsServing(found->second)) {
    return;
  }
  const PoolId& poolId = found->second.pool_;
  const auto pool = aScope.owner_.pools_.find(poolId);
  const bool idle = pool == aScope.owner_.pools_.end() ||
                    !pool->second.running_.contains(aVm) ||
                    pool->second.running_.at(aVm) == SlotCount{};
  if (idle) {
    aScope.effects_.emplace_back(Raise{ PoolDrained{ poolId, aVm } });
  }
}

} // namespace verbenawell
