#include "verbenawell/requests/OwnerReducer.h"

#include "verbenawell/fleet/FleetState.h"
#include "verbenawell/requests/RequestsState.h"

#include <algorithm>
#include <utility>

namespace verbenawell {

namespace {

constexpr std::size_t kMaxWaiting = 4096;
constexpr Duration kQueueFullRetryAfter = std::chrono::seconds(1);

class Reducer
{
public:
  Reducer(OwnerState& aOwner,
          const Views& aViews,
          const Context& aContext,
          Effects& aEffects)
    : owner_(aOwner)
    , views_(aViews)
    , context_(aContext)
    , effects_(aEffects)
  {
  }

  void operator()(const FleetChanged& aEvent)
  {
    for (const Subject& subject : aEvent.subjects_) {
      if (const auto* vm = std::get_if<VmId>(&subject)) {
        ReportIfDrained(*vm);
      }
    }
    for (auto& [id, queue] : owner_.pools_) {
      GrantFreeSlots(id, queue);
    }
  }

  void operator()(const TicketReady& aEvent)
  {
    Enqueue(aEvent.entry_, aEvent.request_);
  }

  void operator()(const PoolTaken& aEvent)
  {
    owner_.lastAttempt_ = std::max(owner_.lastAttempt_, aEvent.lastAttempt_);
    PoolQueue& queue = owner_.pools_[aEvent.pool_];
    queue = {};
    queue.term_ = aEvent.term_;
  }

  void operator()(const AttemptsAdopted& aEvent)
  {
    PoolQueue& queue = owner_.pools_[aEvent.pool_];
    for (const auto& [entry, attempt] : aEvent.attempts_) {
      ++queue.running_[attempt.vm_];
      queue.granted_[attempt.attempt_] = { { entry, attempt.key_ },
                                           attempt.vm_,
                                           context_.now_ };
    }
  }

  void operator()(const PoolLost& aEvent) { owner_.pools_.erase(aEvent.pool_); }

  void operator()(const MembersChanged& aEvent)
  {
    for (auto& [id, queue] : owner_.pools_) {
      const auto isLost = [&](const TicketId& aTicket) {
        return std::ranges::find(aEvent.lost_, aTicket.entry_) !=
               aEvent.lost_.end();
      };
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
        FreeSlot(id, attempt);
      }
    }
  }

  void operator()(const AttemptsLost& aEvent)
  {
    for (const AttemptId attempt : aEvent.attempts_) {
      FreeSlot(aEvent.pool_, attempt);
    }
  }

  void operator()(const PeerMessageReceived& aEvent)
  {
    if (const auto* cancel = std::get_if<SlotCancel>(&aEvent.message_)) {
      Withdraw({ aEvent.from_, cancel->key_ }, cancel->pool_);
    } else if (const auto* release =
                 std::get_if<SlotRelease>(&aEvent.message_)) {
      Release(*release);
    }
  }

  void operator()(const auto&) {}

private:
  void Enqueue(const DaemonId& aEntry, const SlotRequest& aRequest)
  {
    const auto service = views_.fleet_.services_.find(aRequest.head_.service_);
    if (service == views_.fleet_.services_.end()) {
      Refuse(aEntry, aRequest.key_, NotRun{ RefusalReason::UnknownService });
      return;
    }
    PoolQueue& queue = owner_.pools_[service->second.pool_];
    if (queue.waiting_.size() >= kMaxWaiting) {
      Refuse(aEntry,
             aRequest.key_,
             NotRun{ RefusalReason::QueueFull, kQueueFullRetryAfter });
      return;
    }
    queue.waiting_.push_back({ { aEntry, aRequest.key_ },
                               aRequest,
                               context_.now_,
                               context_.now_ + aRequest.head_.deadline_ });
    GrantFreeSlots(service->second.pool_, queue);
  }

  void Withdraw(const TicketId& aTicket, const PoolId& aPool)
  {
    if (const auto found = owner_.pools_.find(aPool);
        found != owner_.pools_.end()) {
      std::erase_if(found->second.waiting_, [&](const QueuedTicket& aQueued) {
        return aQueued.id_ == aTicket;
      });
    }
  }

  void Release(const SlotRelease& aRelease)
  {
    FreeSlot(aRelease.pool_, aRelease.attempt_);
  }

  void FreeSlot(const PoolId& aPool, AttemptId aAttempt)
  {
    const auto pool = owner_.pools_.find(aPool);
    if (pool == owner_.pools_.end()) {
      return;
    }
    PoolQueue& queue = pool->second;
    if (const auto slot = queue.granted_.find(aAttempt);
        slot != queue.granted_.end()) {
      const VmId vm = slot->second.vm_;
      --queue.running_[vm];
      queue.granted_.erase(slot);
      ReportIfDrained(vm);
    }
    GrantFreeSlots(pool->first, queue);
  }

  void GrantFreeSlots(const PoolId& aPool, PoolQueue& aQueue)
  {
    while (!aQueue.waiting_.empty()) {
      const QueuedTicket& next = aQueue.waiting_.front();
      const VmState* worker = ChooseWorker(aPool, aQueue, next);
      if (worker == nullptr) {
        return;
      }
      Grant(aPool, aQueue, next, *worker);
      aQueue.waiting_.pop_front();
    }
  }

  [[nodiscard]] const VmState* ChooseWorker(const PoolId& aPool,
                                            const PoolQueue& aQueue,
                                            const QueuedTicket& aTicket) const
  {
    const auto pool = views_.fleet_.pools_.find(aPool);
    if (pool == views_.fleet_.pools_.end()) {
      return nullptr;
    }
    const VmState* best = nullptr;
    SlotCount bestRunning;
    for (const VmId& id : pool->second.vms_) {
      const VmState& vm = views_.fleet_.vms_.at(id);
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

  void Grant(const PoolId& aPool,
             PoolQueue& aQueue,
             const QueuedTicket& aTicket,
             const VmState& aWorker)
  {
    const VmId& vm = aWorker.facts_.vm_;
    ++owner_.lastAttempt_;
    ++aQueue.running_[vm];
    aQueue.granted_[owner_.lastAttempt_] = { aTicket.id_, vm, context_.now_ };
    effects_.emplace_back(
      Observe{ LatencyMetric::QueueWait, context_.now_ - aTicket.queuedAt_ });
    effects_.emplace_back(SendPeer{ aTicket.id_.entry_,
                                    SlotGrant{ aTicket.id_.key_,
                                               owner_.lastAttempt_,
                                               aPool,
                                               aQueue.term_,
                                               vm,
                                               aWorker.facts_.address_ } });
  }

  void ReportIfDrained(const VmId& aVm)
  {
    const auto found = views_.fleet_.vms_.find(aVm);
    if (found == views_.fleet_.vms_.end() || IsServing(found->second)) {
      return;
    }
    const PoolId& poolId = found->second.pool_;
    const auto pool = owner_.pools_.find(poolId);
    const bool idle = pool == owner_.pools_.end() ||
                      !pool->second.running_.contains(aVm) ||
                      pool->second.running_.at(aVm) == SlotCount{};
    if (idle) {
      effects_.emplace_back(Raise{ PoolDrained{ poolId, aVm } });
    }
  }

  void Refuse(const DaemonId& aEntry, RequestKey aKey, const NotRun& aVerdict)
  {
    effects_.emplace_back(SendPeer{ aEntry, SlotRefusal{ aKey, aVerdict } });
  }

  OwnerState& owner_;
  const Views& views_;
  const Context& context_;
  Effects& effects_;
};

} // namespace

void
ReduceOwner(RequestsState& aRequests,
            const Views& aViews,
            const Event& aEvent,
            const Context& aContext,
            Effects& aEffects)
{
  std::visit(Reducer{ aRequests.owner_, aViews, aContext, aEffects }, aEvent);
}

} // namespace verbenawell
