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
// A process that saw no event for this long was stopped: its timer fires each
// 100 ms. The others may have declared it dead meanwhile.
constexpr Duration kClockGap = std::chrono::seconds(1);
// Lets the others' view of this daemon arrive before it claims pools again.
constexpr Duration kPauseAfterGap = std::chrono::seconds(1);
// Views of the membership differ for one round of gossip at least.
constexpr Duration kYieldTime = std::chrono::milliseconds(500);
constexpr Duration kAuditInterval = std::chrono::seconds(5);
constexpr std::size_t kMaxHeld = 4096;
constexpr Duration kRetryAfter = std::chrono::seconds(1);
// Attempts of one term are numbered from the term times 2^20 on. Terms are
// milliseconds or more apart, so that the numbers of two owners never meet.
constexpr unsigned kAttemptBitsOfTerm = 20;

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

  /// Gives up all pools after a pause of the process.
  void CheckClock()
  {
    const TimePoint last = std::exchange(takeover_.lastEventAt_, context_.now_);
    if (last == TimePoint{} || context_.now_ - last <= kClockGap) {
      return;
    }
    takeover_.pausedUntil_ = context_.now_ + kPauseAfterGap;
    effects_.emplace_back(
      LogLine{ LogLevel::Warning, "pools-given-up-after-pause", {} });
    Refresh();
  }

  void CheckMembership()
  {
    const bool may = MayOwnPools(views_.membership_);
    if (std::exchange(takeover_.mayOwn_, may) != may) {
      Refresh();
    }
  }

  void operator()(const Started&)
  {
    effects_.emplace_back(SetTimer{ TakeoverTick{}, kTickInterval });
  }

  void operator()(const MembersChanged& aEvent)
  {
    Refresh();
    for (auto& [pool, owned] : takeover_.owned_) {
      for (const DaemonId& joined : aEvent.joined_) {
        Announce(pool, owned.term_, joined);
      }
      for (const DaemonId& lost : aEvent.lost_) {
        Drop(owned, lost);
      }
    }
    OpenReady();
  }

  void operator()(const FleetChanged& aEvent)
  {
    if (std::ranges::any_of(aEvent.subjects_, [](const Subject& aSubject) {
          return std::holds_alternative<PoolId>(aSubject);
        })) {
      Refresh();
    }
  }

  void operator()(const TimerDue& aEvent)
  {
    if (!std::holds_alternative<TakeoverTick>(aEvent.key_)) {
      return;
    }
    effects_.emplace_back(SetTimer{ TakeoverTick{}, kTickInterval });
    const bool yieldOver = std::erase_if(takeover_.yielded_, [&](auto& aItem) {
                             return context_.now_ - aItem.second >= kYieldTime;
                           }) > 0;
    const bool pauseOver = takeover_.pausedUntil_ != TimePoint{} &&
                           takeover_.pausedUntil_ <= context_.now_;
    if (pauseOver) {
      takeover_.pausedUntil_ = {};
    }
    if (yieldOver || pauseOver) {
      Refresh();
    }
    OpenReady();
    if (context_.now_ - takeover_.auditedAt_ >= kAuditInterval) {
      takeover_.auditedAt_ = context_.now_;
      AskForAudits();
    }
  }

  void operator()(const TermExceeded& aEvent)
  {
    if (takeover_.owned_.contains(aEvent.pool_)) {
      ClaimAbove(aEvent.pool_, aEvent.term_);
    }
  }

  void operator()(const PeerMessageReceived& aEvent)
  {
    std::visit(
      Overloaded{
        [&](const SlotRequest& aRequest) { Admit(aEvent.from_, aRequest); },
        [&](const SlotCancel& aCancel) { Withdraw(aEvent.from_, aCancel); },
        [&](const OwnerAnnounce& aAnnounce) {
          YieldTo(aEvent.from_, aAnnounce);
        },
        [&](const OwnerReport& aReport) { TakeReport(aEvent.from_, aReport); },
        [](const auto&) {},
      },
      aEvent.message_);
  }

  void operator()(const auto&) {}

private:
  [[nodiscard]] bool IsToOwn(const PoolId& aPool) const
  {
    return takeover_.mayOwn_ && takeover_.pausedUntil_ <= context_.now_ &&
           !takeover_.yielded_.contains(aPool) &&
           views_.fleet_.pools_.contains(aPool) &&
           OwnerOfPool(views_.membership_, aPool) == context_.self_;
  }

  void Refresh()
  {
    std::vector<PoolId> lost;
    for (const auto& [pool, owned] : takeover_.owned_) {
      if (!IsToOwn(pool)) {
        lost.push_back(pool);
      }
    }
    std::ranges::for_each(lost, [&](const PoolId& aPool) { Lose(aPool); });
    for (const auto& [pool, state] : views_.fleet_.pools_) {
      if (!takeover_.owned_.contains(pool) && IsToOwn(pool)) {
        ClaimAbove(pool, Term{});
      }
    }
  }

  // Calendar time makes terms of different owners comparable; a term that is
  // known already is exceeded whatever the clocks say.
  void ClaimAbove(const PoolId& aPool, Term aSeen)
  {
    const Term clock{ static_cast<std::uint64_t>(
      context_.wallNow_.time_since_epoch().count()) };
    const Term known =
      std::max(aSeen, requests_.entry_.pools_[aPool].highestTerm_);
    const Term term = std::max(clock, known + Term{ 1 });
    DropQueue(aPool);
    // Tickets whose intents are on their way under the earlier term must not
    // come back before the reports have: entries send them again.
    if (takeover_.owned_.contains(aPool)) {
      effects_.emplace_back(Raise{ PoolLost{ aPool } });
    }
    OwnedPool& owned = takeover_.owned_[aPool];
    std::vector<TicketReady> held = std::move(owned.held_);
    owned = { term, context_.now_, false, {}, {}, std::move(held), {} };
    effects_.emplace_back(Count{ Counter::OwnerTakeovers });
    effects_.emplace_back(
      LogLine{ LogLevel::Info,
               "pool-claimed",
               { { "pool", aPool.Value() },
                 { "term", std::to_string(term.Value()) } } });
    for (const DaemonId& member : LiveMembers(views_.membership_)) {
      owned.awaited_.insert(member);
      Announce(aPool, term, member);
    }
  }

  void Announce(const PoolId& aPool, Term aTerm, const DaemonId& aTo)
  {
    effects_.emplace_back(SendPeer{ aTo, OwnerAnnounce{ aPool, aTerm } });
  }

  // The queue is dropped at once, not only by the event: what follows in this
  // call must not grant from it any more. Its tickets are refused, so that
  // their entries ask the owner again.
  void DropQueue(const PoolId& aPool)
  {
    const auto queue = requests_.owner_.pools_.find(aPool);
    if (queue == requests_.owner_.pools_.end()) {
      return;
    }
    for (const TicketId& ticket : queue->second.queue_.Tickets()) {
      RefuseNoOwner(ticket.entry_, ticket.key_);
    }
    requests_.owner_.pools_.erase(queue);
  }

  void Lose(const PoolId& aPool)
  {
    const auto found = takeover_.owned_.find(aPool);
    for (const TicketReady& ticket : found->second.held_) {
      RefuseNoOwner(ticket.entry_, ticket.request_.key_);
    }
    takeover_.owned_.erase(found);
    DropQueue(aPool);
    effects_.emplace_back(Raise{ PoolLost{ aPool } });
    effects_.emplace_back(
      LogLine{ LogLevel::Info, "pool-lost", { { "pool", aPool.Value() } } });
  }

  void YieldTo(const DaemonId& aFrom, const OwnerAnnounce& aAnnounce)
  {
    const auto found = takeover_.owned_.find(aAnnounce.pool_);
    if (aFrom != context_.self_ && found != takeover_.owned_.end() &&
        found->second.term_ < aAnnounce.term_) {
      takeover_.yielded_[aAnnounce.pool_] = context_.now_;
      Lose(aAnnounce.pool_);
    }
  }

  void TakeReport(const DaemonId& aFrom, const OwnerReport& aReport)
  {
    const auto found = takeover_.owned_.find(aReport.pool_);
    if (found == takeover_.owned_.end() ||
        aReport.term_ < found->second.term_) {
      return;
    }
    OwnedPool& owned = found->second;
    if (aReport.term_ > owned.term_) {
      ClaimAbove(aReport.pool_, aReport.term_);
      return;
    }
    if (owned.open_) {
      if (const auto queue = requests_.owner_.pools_.find(aReport.pool_);
          queue != requests_.owner_.pools_.end()) {
        Reconcile(aFrom, aReport, owned, queue->second, effects_);
      }
      return;
    }
    if (owned.awaited_.erase(aFrom) > 0) {
      for (const RunningAttempt& attempt : aReport.running_) {
        owned.running_.push_back({ aFrom, attempt });
      }
    }
    OpenReady();
  }

  void OpenReady()
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
    const AttemptId last{ aOwned.term_.Value() << kAttemptBitsOfTerm };
    effects_.emplace_back(Raise{ PoolTaken{ aPool, aOwned.term_, last } });
    if (!aOwned.running_.empty()) {
      effects_.emplace_back(
        Raise{ AttemptsAdopted{ aPool, std::exchange(aOwned.running_, {}) } });
    }
    for (TicketReady& ticket : std::exchange(aOwned.held_, {})) {
      Forward(std::move(ticket));
    }
  }

  void Drop(OwnedPool& aOwned, const DaemonId& aLost)
  {
    aOwned.awaited_.erase(aLost);
    aOwned.audits_.erase(aLost);
    std::erase_if(aOwned.held_, [&](const TicketReady& aTicket) {
      return aTicket.entry_ == aLost;
    });
  }

  void AskForAudits()
  {
    for (auto& [pool, owned] : takeover_.owned_) {
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
    } else if (owned->second.held_.size() < kMaxHeld) {
      Withdraw(aEntry, { aRequest.key_, pool });
      owned->second.held_.push_back({ aEntry, pool, aRequest });
    } else {
      Refuse(aEntry, aRequest.key_, { RefusalReason::QueueFull, kRetryAfter });
    }
  }

  void Forward(TicketReady aTicket)
  {
    if (aTicket.request_.head_.idempotent_) {
      effects_.emplace_back(Raise{ std::move(aTicket) });
    } else {
      effects_.emplace_back(Raise{ IntentWanted{ std::move(aTicket) } });
    }
  }

  void Withdraw(const DaemonId& aEntry, const SlotCancel& aCancel)
  {
    if (const auto owned = takeover_.owned_.find(aCancel.pool_);
        owned != takeover_.owned_.end()) {
      std::erase_if(owned->second.held_, [&](const TicketReady& aTicket) {
        return aTicket.entry_ == aEntry &&
               aTicket.request_.key_ == aCancel.key_;
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
