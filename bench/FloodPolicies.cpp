#include "FloodPolicies.h"

#include "verbenawell/core/Overloaded.h"
#include "verbenawell/requests/OwnerReducer.h"

namespace verbenawell::bench {

namespace {

constexpr std::size_t kMaxWaiting = 4096;

// Workers of a service beyond its availability budget.
constexpr std::uint32_t kBudgetMargin = 2;

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
    fleet.services_[id] = { kPool,
                            VmCount{ kWorkersOf.at(service) - kBudgetMargin } };
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

Decisions
OwnerPolicy::Arrive(JobNumber aNumber, const Job& aJob)
{
  return Send(
    TicketReady{
      kEntry, kPool, SlotRequest{ RequestKey{ aNumber }, aJob.head_, {} } },
    aJob.arrivesAt_);
}

Decisions
OwnerPolicy::Finish(JobNumber aNumber, const Job& aJob, TimePoint aNow)
{
  const auto found = grants_.find(aNumber);
  const SlotGrant grant = found->second;
  grants_.erase(found);
  const SlotRelease release{ grant.key_,   grant.attempt_,
                             grant.pool_,  grant.term_,
                             grant.vm_,    WholeAnswer{ 200, {} },
                             aJob.runTime_ };
  return Send(PeerMessageReceived{ kEntry, release }, aNow);
}

Decisions
OwnerPolicy::Tick(TimePoint aNow)
{
  return Send(TimerDue{ OwnerTick{} }, aNow);
}

Decisions
OwnerPolicy::Send(const Event& aEvent, TimePoint aNow)
{
  Effects effects;
  ReduceOwner(
    state_.requests_, state_.View(), aEvent, { aNow, {}, kSelf }, effects);
  Decisions decisions;
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
                   decisions.refused_.push_back(aRefusal.key_.Value());
                 },
                 [](const auto&) {},
               },
               send->message_);
  }
  return decisions;
}

Decisions
PlainPolicy::Arrive(JobNumber aNumber, const Job& aJob)
{
  Decisions decisions;
  if (waitingCount_ >= kMaxWaiting) {
    decisions.refused_.push_back(aNumber);
    return decisions;
  }
  const auto queue =
    strictPriority_ ? static_cast<std::size_t>(aJob.head_.urgency_) : 0;
  waiting_.at(queue).push_back(
    { aNumber, aJob.arrivesAt_ + aJob.head_.deadline_ });
  ++waitingCount_;
  Start(aJob.arrivesAt_, decisions);
  return decisions;
}

Decisions
PlainPolicy::Finish(JobNumber, const Job&, TimePoint aNow)
{
  Decisions decisions;
  ++free_;
  Start(aNow, decisions);
  return decisions;
}

Decisions
PlainPolicy::Tick(TimePoint)
{
  return {};
}

void
PlainPolicy::Start(TimePoint aNow, Decisions& aDecisions)
{
  for (std::deque<Waiting>& queue : waiting_) {
    while (free_ > 0 && !queue.empty()) {
      const Waiting next = queue.front();
      queue.pop_front();
      --waitingCount_;
      if (next.deadline_ <= aNow) {
        aDecisions.refused_.push_back(next.number_);
        continue;
      }
      aDecisions.started_.push_back(next.number_);
      --free_;
    }
  }
}

} // namespace verbenawell::bench
