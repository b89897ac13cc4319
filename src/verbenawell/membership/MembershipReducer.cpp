#include "verbenawell/membership/MembershipReducer.h"

#include "verbenawell/core/Overloaded.h"
#include "verbenawell/fleet/FleetState.h"
#include "verbenawell/log/LogState.h"
#include "verbenawell/log/Streams.h"
#include "verbenawell/membership/Majority.h"
#include "verbenawell/membership/MemberUpdates.h"
#include "verbenawell/membership/MembershipLimits.h"
#include "verbenawell/membership/MembershipState.h"
#include "verbenawell/membership/PingTargets.h"
#include "verbenawell/membership/Pings.h"
#include "verbenawell/requests/RequestsState.h"

#include <algorithm>
#include <optional>
#include <string>
#include <utility>

namespace verbenawell {

namespace {

class Reducer
{
public:
  Reducer(MembershipState& aMembership,
          const Views& aViews,
          const Context& aContext,
          Effects& aEffects)
    : membership_(aMembership)
    , views_(aViews)
    , context_(aContext)
    , effects_(aEffects)
  {
  }

  void operator()(const Started&)
  {
    membership_.hasMajority_ = false;
    membership_.hasStableMajority_ = false;
    membership_.lastTickAt_ = context_.now_;
    membership_.listeningSince_ = context_.now_;
    membership_.members_[context_.self_] = { membership_.self_,
                                             context_.now_,
                                             context_.now_ };
    PublishSelf();
    UpdateMajority();
    effects_.emplace_back(SetTimer{ MembershipTick{}, kPingInterval });
    PingSeeds(membership_, effects_);
  }

  void operator()(const StopRequested&)
  {
    if (std::exchange(membership_.self_.leaving_, true)) {
      return;
    }
    ++membership_.self_.incarnation_;
    PublishSelf();
    membership_.cachedOwners_.clear();
    effects_.emplace_back(Raise{ MembersChanged{} });
  }

  void operator()(const RequestsDrained&)
  {
    if (!IsActive(membership_.self_)) {
      return;
    }
    membership_.self_.status_ = MemberStatus::Left;
    PublishSelf();
    PingTargets(membership_, effects_);
    effects_.emplace_back(Exit{});
  }

  void operator()(const TimerDue& aEvent)
  {
    if (!std::holds_alternative<MembershipTick>(aEvent.key_)) {
      return;
    }
    membership_.lastTickAt_ = context_.now_;
    ++membership_.ticks_;
    UpdateFleetOffset();
    UpdateBusyUntil();
    ViewChange change;
    ExpireMembers(membership_, context_, change);
    ApplyViewChange(change);
    PingTargets(membership_, effects_);
    RequestIndirectPings(membership_, context_, effects_);
    PingInactiveAddresses(membership_, effects_);
    UpdateMajority();
    effects_.emplace_back(SetTimer{ MembershipTick{}, kPingInterval });
  }

  void operator()(const PeerMessageReceived& aEvent)
  {
    if (aEvent.from_ == context_.self_) {
      return;
    }
    std::visit(Overloaded{
                 [&](const Ping& aPing) { HandlePing(aEvent.from_, aPing); },
                 [&](const Ack& aAck) { HandleAck(aEvent.from_, aAck); },
                 [&](const PingRequest& aRequest) {
                   RelayPing(
                     membership_, aEvent.from_, aRequest, context_, effects_);
                 },
                 [](const auto&) {},
               },
               aEvent.message_);
  }

  void operator()(const auto&) {}

  /// Others may have declared this daemon dead during a pause and taken over
  /// its pools. Every event checks for a pause, because other events may come
  /// before the timer.
  void RejoinAfterPause()
  {
    effects_.emplace_back(Count{ Counter::ClockGaps });
    Log(
      LogLevel::Warning,
      "paused",
      { { "milliseconds",
          std::to_string(std::chrono::duration_cast<std::chrono::milliseconds>(
                           context_.now_ - membership_.lastTickAt_)
                           .count()) } });
    membership_.lastTickAt_ = context_.now_;
    membership_.listeningSince_ = context_.now_;
    Rejoin({});
  }

private:
  using Fields = std::vector<std::pair<std::string, std::string>>;

  void Log(LogLevel aLevel, std::string aEvent, Fields aFields)
  {
    effects_.emplace_back(
      LogLine{ aLevel, std::move(aEvent), std::move(aFields) });
  }

  /// Includes the changed entry of this daemon in the next messages.
  void PublishSelf()
  {
    membership_.selfChangedTick_ = membership_.ticks_;
    membership_.members_[context_.self_].latest_ = membership_.self_;
  }

  void UpdateFleetOffset()
  {
    if (membership_.self_.fleetOffset_ != views_.fleet_.appliedOffset_) {
      membership_.self_.fleetOffset_ = views_.fleet_.appliedOffset_;
      PublishSelf();
    }
  }

  /// Announces until when requests of this daemon may run on workers. Members
  /// that no longer hear this daemon rely on the last announcement.
  void UpdateBusyUntil()
  {
    const auto& deadlines = views_.requests_.entry_.deadlines_;
    if (deadlines.empty()) {
      return;
    }
    const auto after = [&](Duration aMargin) {
      return context_.wallNow_ +
             std::chrono::ceil<std::chrono::milliseconds>(
               deadlines.rbegin()->first + aMargin - context_.now_);
    };
    if (membership_.self_.busyUntil_ < after(kMaxIsolatedStartTime)) {
      membership_.self_.busyUntil_ = after(kBusyMargin);
      PublishSelf();
    }
  }

  /// Starts a new session of this daemon, which owns nothing that the earlier
  /// one did.
  void Rejoin(const MemberUpdate& aKnown)
  {
    MemberUpdate& self = membership_.self_;
    const auto now =
      static_cast<std::uint64_t>(context_.wallNow_.time_since_epoch().count());
    self.incarnation_ =
      std::max({ self.incarnation_, aKnown.incarnation_, Incarnation{ now } });
    ++self.incarnation_;
    self.session_ =
      std::max({ self.session_, aKnown.session_, MemberSession{ now } });
    ++self.session_;
    PublishSelf();
    GiveUpOwnership();
    membership_.hasMajority_ = false;
  }

  void GiveUpOwnership()
  {
    if (std::exchange(membership_.hasStableMajority_, false)) {
      membership_.cachedOwners_.clear();
      effects_.emplace_back(Raise{ MembersChanged{ {}, { context_.self_ } } });
    }
    UpdateReadiness();
  }

  void MarkHeard(const DaemonId& aFrom)
  {
    if (const auto found = membership_.members_.find(aFrom);
        found != membership_.members_.end()) {
      found->second.heardAt_ = context_.now_;
    }
  }

  void Merge(const std::vector<MemberUpdate>& aUpdates)
  {
    ViewChange change;
    for (const MemberUpdate& update : aUpdates) {
      MergeUpdate(membership_, update, context_, change);
    }
    ApplyViewChange(change);
    if (change.updateToRefute_) {
      Refute(*change.updateToRefute_);
    }
  }

  void HandlePing(const DaemonId& aFrom, const Ping& aPing)
  {
    const std::optional<MemberSession> known = RunOf(aFrom);
    Merge(aPing.updates_);
    // A restarted daemon has lost its view, so it gets all entries like one
    // that joins.
    const bool isNew = !known || known != RunOf(aFrom);
    effects_.emplace_back(SendPeer{
      aFrom,
      Ack{ aPing.sequence_,
           isNew ? AllUpdates(membership_) : CollectUpdates(membership_, aFrom),
           {} } });
  }

  [[nodiscard]] std::optional<MemberSession> RunOf(
    const DaemonId& aMember) const
  {
    const auto found = membership_.members_.find(aMember);
    return found == membership_.members_.end()
             ? std::nullopt
             : std::optional{ found->second.latest_.session_ };
  }

  void HandleAck(const DaemonId& aFrom, const Ack& aAck)
  {
    Merge(aAck.updates_);
    // Only a response proves that both directions work: a daemon that others
    // cannot reach must not remain an owner even if it still reaches them.
    MarkHeard(aFrom);
    if (!aAck.relayedMember_.IsEmpty()) {
      MarkHeard(aAck.relayedMember_);
    }
    AcknowledgeRelayedPings(membership_, aFrom, effects_);
  }

  /// Responds to an update that calls this daemon suspect, dead or gone, or
  /// that comes from an earlier session of it.
  void Refute(const MemberUpdate& aKnown)
  {
    MemberUpdate& self = membership_.self_;
    const bool isDeclaredDead =
      !IsActive(aKnown) && aKnown.session_ == self.session_;
    if (isDeclaredDead || aKnown.session_ > self.session_) {
      Log(LogLevel::Warning, "declared-dead", {});
      membership_.listeningSince_ = context_.now_;
      Rejoin(aKnown);
      return;
    }
    self.incarnation_ = aKnown.incarnation_ + Incarnation{ 1 };
    PublishSelf();
  }

  /// Reports changes of the view to the other modules and the peer transport.
  void ApplyViewChange(ViewChange& aChange)
  {
    const MembersChanged& members = aChange.members_;
    for (const DaemonId& lost : members.lost_) {
      if (const auto found = membership_.members_.find(lost);
          found == membership_.members_.end() ||
          !IsActive(found->second.latest_)) {
        effects_.emplace_back(DisconnectPeer{ lost });
      }
      Log(LogLevel::Warning, "member-lost", { { "member", lost.Value() } });
    }
    for (const MemberUpdate& addressChange : aChange.addressChanges_) {
      effects_.emplace_back(
        ConnectPeer{ addressChange.daemon_, addressChange.peerAddress_ });
    }
    for (const DaemonId& joined : members.joined_) {
      Log(LogLevel::Info, "member-joined", { { "member", joined.Value() } });
    }
    if (members.lost_.empty() && members.joined_.empty() &&
        !aChange.ownersChanged_) {
      return;
    }
    membership_.cachedOwners_.clear();
    UpdateTargets();
    effects_.emplace_back(Raise{ members });
  }

  /// Chooses the ping targets again. A new target counts as heard now, because
  /// it has not been pinged until now.
  void UpdateTargets()
  {
    const std::vector<DaemonId> before =
      std::exchange(membership_.targets_, ChoosePingTargets(membership_));
    for (const DaemonId& target : membership_.targets_) {
      if (std::ranges::find(before, target) == before.end()) {
        MarkHeard(target);
      }
    }
  }

  void UpdateMajority()
  {
    UpdateVoters(membership_, context_);
    const bool hadMajority = membership_.hasMajority_;
    membership_.hasMajority_ = HearsMajority(membership_, context_);
    if (membership_.hasMajority_ != hadMajority) {
      membership_.majoritySince_ = context_.now_;
      Log(membership_.hasMajority_ ? LogLevel::Info : LogLevel::Warning,
          membership_.hasMajority_ ? "majority-heard" : "majority-lost",
          {});
    }
    if (!membership_.hasMajority_) {
      GiveUpOwnership();
    } else if (!membership_.hasStableMajority_ && IsMajorityStable()) {
      membership_.hasStableMajority_ = true;
      membership_.hadStableMajority_ = true;
      membership_.cachedOwners_.clear();
      effects_.emplace_back(Raise{ MembersChanged{ { context_.self_ }, {} } });
    }
    UpdateReadiness();
  }

  /// A daemon without seeds that knows no other member has nobody to wait for.
  [[nodiscard]] bool IsMajorityStable() const
  {
    const bool alone =
      membership_.seeds_.empty() && membership_.members_.size() == 1;
    return alone ||
           context_.now_ - membership_.majoritySince_ >= kMajorityStabilityTime;
  }

  /// A state from a peer suffices while the log does not respond.
  [[nodiscard]] bool IsFleetLoaded() const
  {
    const auto fleet = views_.log_.streams_.find(FleetStream());
    const bool caughtUp =
      fleet != views_.log_.streams_.end() && fleet->second.caughtUp_;
    return caughtUp || (!IsLogResponding(views_.log_) && views_.fleet_.loaded_);
  }

  void UpdateReadiness()
  {
    const bool ready = membership_.hasMajority_ &&
                       membership_.hasStableMajority_ &&
                       !membership_.self_.leaving_ && IsFleetLoaded();
    if (ready != std::exchange(membership_.ready_, ready)) {
      effects_.emplace_back(SetReady{ ready });
    }
  }

  MembershipState& membership_;
  const Views& views_;
  const Context& context_;
  Effects& effects_;
};

} // namespace

void
ReduceMembership(MembershipState& aMembership,
                 const Views& aViews,
                 const Event& aEvent,
                 const Context& aContext,
                 Effects& aEffects)
{
  Reducer reducer{ aMembership, aViews, aContext, aEffects };
  const bool running = !std::holds_alternative<Started>(aEvent) &&
                       aMembership.lastTickAt_ != TimePoint{};
  if (running && aContext.now_ - aMembership.lastTickAt_ > kMaxTickGap) {
    reducer.RejoinAfterPause();
  }
  std::visit(reducer, aEvent);
}

} // namespace verbenawell
