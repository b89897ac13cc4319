#include "verbenawell/requests/TakeoverReducer.h"

#include "verbenawell/core/Overloaded.h"
#include "verbenawell/fleet/FleetState.h"
#include "verbenawell/membership/MembershipState.h"
#include "verbenawell/membership/Ownership.h"
#include "verbenawell/requests/RequestsState.h"
#include "verbenawell/requests/SlotAudit.h"

#include <algorithm>
#include <utility>

namespace verbenawell {

namespace {

constexpr Duration kTickInterval = std::chrono::milliseconds(100);
constexpr Duration kReportTimeout = std::chrono::seconds(1);
// A process without an event for this long was suspended, because its timer
// fires every 100 ms. Other daemons may have declared it dead meanwhile.
constexpr Duration kMaxTimeWithoutEvents = std::chrono::seconds(1);
// Time for membership updates to arrive before pools are claimed again.
constexpr Duration kPauseAfterGap = std::chrono::seconds(1);
// Delay before a pool that was given up may be claimed again. Membership views
// differ for at least one round of gossip.
constexpr Duration kReclaimDelay = std::chrono::milliseconds(500);
constexpr Duration kAuditInterval = std::chrono::seconds(5);
constexpr std::size_t kMaxDeferredRequests = 4096; // per pool
constexpr Duration kRetryAfter = std::chrono::seconds(1);
// Attempt ids of an epoch start at the epoch times 2^20. Epochs are at least a
// millisecond apart, so the ids of two owners never overlap.
constexpr unsigned kAttemptBitsOfEpoch = 20;

class Reducer
{
public:
  Reducer(RequestsState& aRequests,
          const Views& aViews,
          const Context& aContext,
          Effects& aEffects)
    : requests_(aRequests)
    , takeover_(aRequests.takeover_)
    , views_(aViews)
    , context_(aContext)
    , effects_(aEffects)
  {
  }

  /// Gives up all pools after the process was suspended.
  void CheckClock()
  {
    const TimePoint last = std::exchange(takeover_.lastEventAt_, context_.now_);
    if (last == TimePoint{} || context_.now_ - last <= kMaxTimeWithoutEvents) {
      return;
    }
    takeover_.pausedUntil_ = context_.now_ + kPauseAfterGap;
    effects_.emplace_back(
      LogLine{ LogLevel::Warning, "pools-given-up-after-pause", {} });
    UpdateOwnership();
  }

  void CheckMembership()
  {
    const bool may = MayOwnPools(views_.membership_);
    if (std::exchange(takeover_.mayOwn_, may) != may) {
      UpdateOwnership();
    }
  }

  void operator()(const Started&)
  {
    effects_.emplace_back(SetTimer{ TakeoverTick{}, kTickInterval });
  }

  void operator()(const MembersChanged& aEvent)
  {
    UpdateOwnership();
    for (auto& [pool, owned] : takeover_.owned_) {
      for (const DaemonId& lost : aEvent.lost_) {
        RemoveMember(owned, lost);
      }
      // A member in both lists may still run attempts granted before.
      for (const DaemonId& joined : aEvent.joined_) {
        owned.awaited_.insert(joined);
        Announce(pool, owned.epoch_, joined);
      }
    }
    OpenReadyPools();
  }

  void operator()(const FleetChanged& aEvent)
  {
    if (std::ranges::any_of(aEvent.subjects_, [](const Subject& aSubject) {
          return std::holds_alternative<PoolId>(aSubject);
        })) {
      UpdateOwnership();
    }
  }

  void operator()(const TimerDue& aEvent)
  {
    if (!std::holds_alternative<TakeoverTick>(aEvent.key_)) {
      return;
    }
    effects_.emplace_back(SetTimer{ TakeoverTick{}, kTickInterval });
    const bool reclaimDelayOver =
      std::erase_if(takeover_.relinquished_, [&](auto& aItem) {
        return context_.now_ - aItem.second >= kReclaimDelay;
      }) > 0;
    const bool pauseOver = takeover_.pausedUntil_ != TimePoint{} &&
                           takeover_.pausedUntil_ <= context_.now_;
    if (pauseOver) {
      takeover_.pausedUntil_ = {};
    }
    if (reclaimDelayOver || pauseOver) {
      UpdateOwnership();
    }
    OpenReadyPools();
    if (context_.now_ - takeover_.auditedAt_ >= kAuditInterval) {
      takeover_.auditedAt_ = context_.now_;
      SendAudits();
    }
  }

  void operator()(const EpochExceeded& aEvent)
  {
    if (takeover_.owned_.contains(aEvent.pool_)) {
      ClaimAbove(aEvent.pool_, aEvent.epoch_);
    }
  }

  void operator()(const PeerMessageReceived& aEvent)
  {
    std::visit(
      Overloaded{
        [&](const SlotRequest& aRequest) { Admit(aEvent.from_, aRequest); },
        [&](const SlotCancel& aCancel) { Withdraw(aEvent.from_, aCancel); },
        [&](const OwnerAnnounce& aAnnounce) {
          HandleAnnounce(aEvent.from_, aAnnounce);
        },
        [&](const OwnerReport& aReport) {
          HandleReport(aEvent.from_, aReport);
        },
        [](const auto&) {},
      },
      aEvent.message_);
  }

  void operator()(const auto&) {}

private:
  [[nodiscard]] bool ShouldOwn(const PoolId& aPool) const
  {
    return takeover_.mayOwn_ && takeover_.pausedUntil_ <= context_.now_ &&
           !takeover_.relinquished_.contains(aPool) &&
           views_.fleet_.pools_.contains(aPool) &&
           OwnerOfPool(views_.membership_, aPool) == context_.self_;
  }

  void UpdateOwnership()
  {
    std::vector<PoolId> lost;
    for (const auto& [pool, owned] : takeover_.owned_) {
      if (!ShouldOwn(pool)) {
        lost.push_back(pool);
      }
    }
    std::ranges::for_each(lost, [&](const PoolId& aPool) { GiveUp(aPool); });
    for (const auto& [pool, state] : views_.fleet_.pools_) {
      if (!takeover_.owned_.contains(pool) && ShouldOwn(pool)) {
        ClaimAbove(pool, PoolEpoch{});
      }
    }
  }

  // Epochs are calendar times, which makes those of different owners
  // comparable. The new epoch exceeds every known one whatever the clocks show.
  void ClaimAbove(const PoolId& aPool, PoolEpoch aKnown)
  {
    const PoolEpoch clock{ static_cast<std::uint64_t>(
      context_.wallNow_.time_since_epoch().count()) };
    const PoolEpoch known =
      std::max(aKnown, requests_.entry_.pools_[aPool].highestEpoch_);
    const PoolEpoch epoch = std::max(clock, known + PoolEpoch{ 1 });
    DropQueue(aPool);
    // Requests whose intents are in flight under the earlier epoch must not be
    // queued before the reports arrive. Their entry daemons send them again.
    if (takeover_.owned_.contains(aPool)) {
      effects_.emplace_back(Raise{ PoolLost{ aPool } });
    }
    OwnedPool& owned = takeover_.owned_[aPool];
    std::vector<SlotRequestReady> deferred = std::move(owned.deferred_);
    owned = { epoch, context_.now_, false, {}, {}, std::move(deferred), {} };
    effects_.emplace_back(Count{ Counter::OwnerTakeovers });
    effects_.emplace_back(
      LogLine{ LogLevel::Info,
               "pool-claimed",
               { { "pool", aPool.Value() },
                 { "term", std::to_string(epoch.Value()) } } });
    for (const DaemonId& member : LiveMembers(views_.membership_)) {
      owned.awaited_.insert(member);
      Announce(aPool, epoch, member);
    }
  }

  void Announce(const PoolId& aPool, PoolEpoch aEpoch, const DaemonId& aTo)
  {
    effects_.emplace_back(SendPeer{ aTo, OwnerAnnounce{ aPool, aEpoch } });
  }

  // The queue is dropped here and not only by the event: the rest of this call
  // must not grant from it. Entry daemons ask the owner again when refused.
  void DropQueue(const PoolId& aPool)
  {
    const auto queue = requests_.owner_.pools_.find(aPool);
    if (queue == requests_.owner_.pools_.end()) {
      return;
    }
    for (const QueuedRequestId& request : queue->second.queue_.Requests()) {
      RefuseNoOwner(request.entry_, request.key_);
    }
    requests_.owner_.pools_.erase(queue);
  }

  void GiveUp(const PoolId& aPool)
  {
    const auto found = takeover_.owned_.find(aPool);
    for (const SlotRequestReady& request : found->second.deferred_) {
      RefuseNoOwner(request.entry_, request.request_.key_);
    }
    takeover_.owned_.erase(found);
    DropQueue(aPool);
    effects_.emplace_back(Raise{ PoolLost{ aPool } });
    effects_.emplace_back(
      LogLine{ LogLevel::Info, "pool-lost", { { "pool", aPool.Value() } } });
  }

  void HandleAnnounce(const DaemonId& aFrom, const OwnerAnnounce& aAnnounce)
  {
    const auto found = takeover_.owned_.find(aAnnounce.pool_);
    if (aFrom != context_.self_ && found != takeover_.owned_.end() &&
        found->second.epoch_ < aAnnounce.epoch_) {
      takeover_.relinquished_[aAnnounce.pool_] = context_.now_;
      GiveUp(aAnnounce.pool_);
    }
  }

  void HandleReport(const DaemonId& aFrom, const OwnerReport& aReport)
  {
    const auto found = takeover_.owned_.find(aReport.pool_);
    if (found == takeover_.owned_.end() ||
        aReport.epoch_ < found->second.epoch_) {
      return;
    }
    OwnedPool& owned = found->second;
    if (aReport.epoch_ > owned.epoch_) {
      ClaimAbove(aReport.pool_, aReport.epoch_);
      return;
    }
    const bool awaited = owned.awaited_.erase(aFrom) > 0;
    if (owned.open_) {
      if (const auto queue = requests_.owner_.pools_.find(aReport.pool_);
          queue != requests_.owner_.pools_.end()) {
        Reconcile(aFrom, aReport, owned, queue->second, effects_);
      }
      return;
    }
    if (awaited) {
      for (const RunningAttempt& attempt : aReport.running_) {
        owned.running_.push_back({ aFrom, attempt });
      }
    }
    OpenReadyPools();
  }

  void OpenReadyPools()
  {
    for (auto& [pool, owned] : takeover_.owned_) {
      const bool waitedEnough =
        context_.now_ - owned.claimedAt_ >= kReportTimeout;
      if (!owned.open_ && (owned.awaited_.empty() || waitedEnough)) {
        Open(pool, owned);
      }
    }
  }

  void Open(const PoolId& aPool, OwnedPool& aOwned)
  {
    aOwned.open_ = true;
    const AttemptId last{ aOwned.epoch_.Value() << kAttemptBitsOfEpoch };
    effects_.emplace_back(Raise{ PoolAcquired{ aPool, aOwned.epoch_, last } });
    if (!aOwned.running_.empty()) {
      effects_.emplace_back(
        Raise{ AttemptsAdopted{ aPool, std::exchange(aOwned.running_, {}) } });
    }
    for (SlotRequestReady& request : std::exchange(aOwned.deferred_, {})) {
      Forward(std::move(request));
    }
  }

  void RemoveMember(OwnedPool& aOwned, const DaemonId& aLost)
  {
    aOwned.awaited_.erase(aLost);
    aOwned.audits_.erase(aLost);
    std::erase_if(aOwned.deferred_, [&](const SlotRequestReady& aRequest) {
      return aRequest.entry_ == aLost;
    });
  }

  // Members whose reports are missing are asked again: no VM counts as drained
  // before their reports arrive.
  void SendAudits()
  {
    for (auto& [pool, owned] : takeover_.owned_) {
      for (const DaemonId& member : owned.awaited_) {
        Announce(pool, owned.epoch_, member);
      }
      const auto queue = requests_.owner_.pools_.find(pool);
      if (owned.open_ && queue != requests_.owner_.pools_.end()) {
        Audit(pool, owned, queue->second, context_.now_, effects_);
      }
    }
  }

  void Admit(const DaemonId& aEntry, const SlotRequest& aRequest)
  {
    const auto service = views_.fleet_.services_.find(aRequest.head_.service_);
    if (service == views_.fleet_.services_.end()) {
      Refuse(aEntry, aRequest.key_, { RefusalReason::UnknownService });
      return;
    }
    const PoolId& pool = service->second.pool_;
    const auto owned = takeover_.owned_.find(pool);
    if (owned == takeover_.owned_.end()) {
      RefuseNoOwner(aEntry, aRequest.key_);
    } else if (owned->second.open_) {
      Forward({ aEntry, pool, aRequest });
    } else if (owned->second.deferred_.size() < kMaxDeferredRequests) {
      Withdraw(aEntry, { aRequest.key_, pool });
      owned->second.deferred_.push_back({ aEntry, pool, aRequest });
    } else {
      Refuse(aEntry, aRequest.key_, { RefusalReason::QueueFull, kRetryAfter });
    }
  }

  void Forward(SlotRequestReady aRequest)
  {
    if (aRequest.request_.head_.idempotent_) {
      effects_.emplace_back(Raise{ std::move(aRequest) });
    } else {
      effects_.emplace_back(Raise{ IntentRequested{ std::move(aRequest) } });
    }
  }

  void Withdraw(const DaemonId& aEntry, const SlotCancel& aCancel)
  {
    if (const auto owned = takeover_.owned_.find(aCancel.pool_);
        owned != takeover_.owned_.end()) {
      std::erase_if(owned->second.deferred_,
                    [&](const SlotRequestReady& aRequest) {
                      return aRequest.entry_ == aEntry &&
                             aRequest.request_.key_ == aCancel.key_;
                    });
    }
  }

  void RefuseNoOwner(const DaemonId& aEntry, RequestKey aKey)
  {
    Refuse(aEntry, aKey, { RefusalReason::NoOwner, kRetryAfter });
  }

  void Refuse(const DaemonId& aEntry, RequestKey aKey, const NotRun& aVerdict)
  {
    effects_.emplace_back(SendPeer{ aEntry, SlotRefusal{ aKey, aVerdict } });
  }

  RequestsState& requests_;
  TakeoverState& takeover_;
  const Views& views_;
  const Context& context_;
  Effects& effects_;
};

} // namespace

void
ReduceTakeover(RequestsState& aRequests,
               const Views& aViews,
               const Event& aEvent,
               const Context& aContext,
               Effects& aEffects)
{
  Reducer reducer{ aRequests, aViews, aContext, aEffects };
  reducer.CheckClock();
  reducer.CheckMembership();
  std::visit(reducer, aEvent);
}

} // namespace verbenawell
