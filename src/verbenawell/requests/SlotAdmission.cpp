#include "verbenawell/requests/SlotAdmission.h"

#include "verbenawell/fleet/FleetState.h"
#include "verbenawell/requests/OwnerState.h"
#include "verbenawell/requests/SlotGranting.h"

#include <algorithm>

namespace verbenawell {

namespace {

constexpr std::size_t kMaxWaiting = 4096;
constexpr Duration kQueueFullRetryAfter = std::chrono::seconds(1);

void
Refuse(OwnerScope& aScope,
       const DaemonId& aEntry,
       RequestKey aKey,
       const NotRun& aVerdict)
{
  aScope.effects_.emplace_back(
    SendPeer{ aEntry, SlotRefusal{ aKey, aVerdict } });
}

} // namespace

void
AdmitTicket(OwnerScope& aScope,
            const DaemonId& aEntry,
            const SlotRequest& aRequest)
{
  const FleetState& fleet = aScope.views_.fleet_;
  const auto service = fleet.services_.find(aRequest.head_.service_);
  if (service == fleet.services_.end()) {
    Refuse(
      aScope, aEntry, aRequest.key_, NotRun{ RefusalReason::UnknownService });
    return;
  }
  PoolQueue& queue = aScope.owner_.pools_[service->second.pool_];
  if (queue.waiting_.size() >= kMaxWaiting) {
    Refuse(aScope,
           aEntry,
           aRequest.key_,
           NotRun{ RefusalReason::QueueFull, kQueueFullRetryAfter });
    return;
  }
  queue.waiting_.push_back({ { aEntry, aRequest.key_ },
                             aRequest,
                             aScope.context_.now_,
                             aScope.context_.now_ + aRequest.head_.deadline_ });
  GrantFreeSlots(aScope, service->second.pool_, queue);
}

void
WithdrawTicket(OwnerScope& aScope, const TicketId& aTicket, const PoolId& aPool)
{
  if (const auto found = aScope.owner_.pools_.find(aPool);
      found != aScope.owner_.pools_.end()) {
    std::erase_if(found->second.waiting_, [&](const QueuedTicket& aQueued) {
      return aQueued.id_ == aTicket;
    });
  }
}

} // namespace verbenawell
