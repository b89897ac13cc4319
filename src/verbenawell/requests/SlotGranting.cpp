#include "verbenawell/requests/SlotGranting.h"

#include "verbenawell/fleet/FleetState.h"
#include "verbenawell/requests/Grant.h"

#include <algorithm>
#include <utility>

namespace verbenawell {

namespace {

const VmState*
ChooseWorker(const OwnerScope& aScope,
             const PoolId& aPool,
             const PoolQueue& aQueue,
             const QueuedTicket& aTicket)
{
  const FleetState& fleet = aScope.views_.fleet_;
  const auto pool = fleet.pools_.find(aPool);
  if (pool == fleet.pools_.end()) {
    return nullptr;
  }
  const VmState* best = nullptr;
  SlotCount bestRunning;
  for (const VmId& id : pool->second.vms_) {
    const VmState& vm = fleet.vms_.at(id);
    const auto found = aQueue.running_.find(id);
    const SlotCount running =
      found == aQueue.running_.end() ? SlotCount{} : found->second;
    const bool usable = IsServing(vm) && running < vm.facts_.slots_ &&
                        std::ranges::find(aTicket.request_.tried_, id) ==
                          aTicket.request_.tried_.end();
    if (usable && (best == nullptr || running < bestRunning)) {
      best = &vm;
      bestRunning = running;
    }
  }
  return best;
}

} // namespace

void
GrantFreeSlots(OwnerScope& aScope, const PoolId& aPool, PoolQueue& aQueue)
{
  while (!aQueue.waiting_.empty()) {
    const VmState* worker =
      ChooseWorker(aScope, aPool, aQueue, aQueue.waiting_.front());
    if (worker == nullptr) {
      return;
    }
    const QueuedTicket next = std::move(aQueue.waiting_.front());
    aQueue.waiting_.pop_front();
    Grant(aScope, aPool, aQueue, next, *worker);
  }
}

} // namespace verbenawell
