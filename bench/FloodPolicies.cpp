#include "FloodPolicies.h"

#include "verbenawell/core/Overloaded.h"
#include "verbenawell/requests/OwnerReducer.h"

namespace verbenawell::bench {

namespace {

constexpr std::size_t kMaxWaitingRequests = 4096;

// Workers of a service beyond its availability budget.
constexpr std::uint32_t kWorkersBeyondBudget = 2;

const PoolId kPool{ "shared" };
const DaemonId kSelf{ "owner" };
const DaemonId kEntry{ "entry" };

} // namespace

OwnerPolicy::OwnerPolicy(std::uint64_t aSeed)
{
  state_.requests_.random_ = Random{ aSeed };
  state_.membership_.members_[kSelf] = {};
  FleetState& fleet = state_.fleet_;
  PoolState& pool = fleet.pools_[kPool];
  for (std::size_t service = 0; service < kServices; ++service) {
    const ServiceId id{ "service" + std::to_string(service) };
    pool.services_.insert(id);
    fleet.services_[id] = {
      kPool, VmCount{ kWorkersPerService.at(service) - kWorkersBeyondBudget }
    };
  }
  for (std::uint32_t worker = 0; worker < kWorkers; ++worker) {
    const VmId id{ "vm" + std::to_string(worker) };
    VmState& vm = fleet.vms_[id];
    vm.facts_.vm_ = id;
    vm.facts_.slots_ = SlotCount{ kSlotsPerWorker };
    vm.pool_ = kPool;
    pool.vms_.insert(id);
  }
  pool.serving_ = VmCount{ kWorkers };
}

PolicyDecisions
OwnerPolicy::Arrive(RequestNumber aNumber, const SimulatedRequest& aRequest)
{
  return Send(
    SlotRequestReady{
      kEntry, kPool, SlotRequest{ RequestKey{ aNumber }, aRequest.head_, {} } },
    aRequest.arrivesAt_);
}

PolicyDecisions
OwnerPolicy::Finish(RequestNumber aNumber,
                    const SimulatedRequest& aRequest,
                    TimePoint aNow)
{
  const auto found = grants_.find(aNumber);
  const SlotGrant grant = found->second;
  grants_.erase(found);
  const SlotRelease release{ grant.key_,       grant.attempt_,
                             grant.pool_,      grant.epoch_,
                             grant.vm_,        CompleteResponse{ 200, {} },
                             aRequest.runTime_ };
  return Send(PeerMessageReceived{ kEntry, release }, aNow);
}

PolicyDecisions
OwnerPolicy::Tick(TimePoint aNow)
{
  return Send(TimerDue{ OwnerTick{} }, aNow);
}

PolicyDecisions
OwnerPolicy::Send(const Event& aEvent, TimePoint aNow)
{
  Effects effects;
  ReduceOwner(
    state_.requests_, state_.View(), aEvent, { aNow, {}, kSelf }, effects);
  PolicyDecisions decisions;
  for (const Effect& effect : effects) {
    const auto* send = std::get_if<SendPeer>(&effect);
    if (send == nullptr) {
      continue;
    }
    std::visit(Overloaded{
                 [&](const SlotGrant& aGrant) {
                   grants_[aGrant.key_.Value()] = aGrant;
                   decisions.started_.push_back(aGrant.key_.Value());
                 },
                 [&](const SlotRefusal& aRefusal) {
                   decisions.rejected_.push_back(aRefusal.key_.Value());
                 },
                 [](const auto&) {},
               },
               send->message_);
  }
  return decisions;
}

PolicyDecisions
BoundedQueuePolicy::Arrive(RequestNumber aNumber,
                           const SimulatedRequest& aRequest)
{
  PolicyDecisions decisions;
  if (waitingCount_ >= kMaxWaitingRequests) {
    decisions.rejected_.push_back(aNumber);
    return decisions;
  }
  const auto queue =
    strictPriority_ ? static_cast<std::size_t>(aRequest.head_.urgency_) : 0;
  queues_.at(queue).push_back(
    { aNumber, aRequest.arrivesAt_ + aRequest.head_.deadline_ });
  ++waitingCount_;
  Start(aRequest.arrivesAt_, decisions);
  return decisions;
}

PolicyDecisions
BoundedQueuePolicy::Finish(RequestNumber,
                           const SimulatedRequest&,
                           TimePoint aNow)
{
  PolicyDecisions decisions;
  ++freeSlots_;
  Start(aNow, decisions);
  return decisions;
}

PolicyDecisions
BoundedQueuePolicy::Tick(TimePoint)
{
  return {};
}

void
BoundedQueuePolicy::Start(TimePoint aNow, PolicyDecisions& aDecisions)
{
  for (std::deque<WaitingRequest>& queue : queues_) {
    while (freeSlots_ > 0 && !queue.empty()) {
      const WaitingRequest next = queue.front();
      queue.pop_front();
      --waitingCount_;
      if (next.deadline_ <= aNow) {
        aDecisions.rejected_.push_back(next.number_);
        continue;
      }
      aDecisions.started_.push_back(next.number_);
      --freeSlots_;
    }
  }
}

} // namespace verbenawell::bench
