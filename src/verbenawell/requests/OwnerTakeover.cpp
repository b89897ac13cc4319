#include "verbenawell/requests/OwnerTakeover.h"

#include "verbenawell/requests/SlotGranting.h"
#include "verbenawell/requests/SlotReturn.h"

#include <algorithm>

namespace verbenawell {

namespace {

void
FreeSlot(OwnerScope& aScope, PoolQueue& aQueue, AttemptId aAttempt)
{
  const auto slot = aQueue.granted_.find(aAttempt);
  if (slot == aQueue.granted_.end()) {
    return;
  }
  const VmId vm = slot->second.vm_;
  --aQueue.running_[vm];
  aQueue.granted_.erase(slot);
  ReportIfDrained(aScope, vm);
}

} // namespace

void
TakePool(OwnerScope& aScope, const PoolTaken& aTaken)
{
  OwnerState& owner = aScope.owner_;
  owner.lastAttempt_ = std::max(owner.lastAttempt_, aTaken.lastAttempt_);
  PoolQueue& queue = owner.pools_[aTaken.pool_];
  queue = {};
  queue.term_ = aTaken.term_;
}

void
AdoptAttempts(OwnerScope& aScope, const AttemptsAdopted& aAdopted)
{
  PoolQueue& queue = aScope.owner_.pools_[aAdopted.pool_];
  for (const auto& [entry, attempt] : aAdopted.attempts_) {
    const GrantedSlot slot{ { entry, attempt.key_ },
                            attempt.vm_,
                            aScope.context_.now_ };
    if (queue.granted_.try_emplace(attempt.attempt_, slot).second) {
      ++queue.running_[attempt.vm_];
    }
  }
}

void
FreeLost(OwnerScope& aScope, const AttemptsLost& aLost)
{
  const auto pool = aScope.owner_.pools_.find(aLost.pool_);
  if (pool == aScope.owner_.pools_.end()) {
    return;
  }
  for (const AttemptId attempt : aLost.attempts_) {
    FreeSlot(aScope, pool->second, attempt);
  }
  GrantFreeSlots(aScope, pool->first, pool->second);
}

void
DropEntries(OwnerScope& aScope, const std::vector<DaemonId>& aLost)
{
  const auto isLost = [&](const TicketId& aTicket) {
    return std::ranges::find(aLost, aTicket.entry_) != aLost.end();
  };
  for (auto& [id, queue] : aScope.owner_.pools_) {
    std::erase_if(queue.waiting_, [&](const QueuedTicket& aQueued) {
      return isLost(aQueued.id_);
    });
    std::vector<AttemptId> attempts;
    for (const auto& [attempt, slot] : queue.granted_) {
      if (isLost(slot.ticket_)) {
        attempts.push_back(attempt);
      }
    }
    for (const AttemptId attempt : attempts) {
      FreeSlot(aScope, queue, attempt);
    }
    GrantFreeSlots(aScope, id, queue);
  }
}

std::vector<TicketId>
WaitingTickets(const PoolQueue& aQueue)
{
  std::vector<TicketId> tickets;
  for (const QueuedTicket& waiting : aQueue.waiting_) {
    tickets.push_back(waiting.id_);
  }
  return tickets;
}

} // namespace verbenawell
