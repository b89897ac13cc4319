#include "verbenawell/membership/MemberUpdates.h"

#include "verbenawell/membership/MembershipLimits.h"
#include "verbenawell/membership/MembershipState.h"

#include <algorithm>
#include <bit>
#include <functional>

namespace verbenawell {

namespace {

// Each update is sent this many times per doubling of the number of members.
// With several messages per period it reaches all of them with high
// probability.
constexpr std::uint32_t kSendsPerDoubling = 4;

bool
Supersedes(const MemberUpdate& aNew, const MemberUpdate& aOld)
{
  if (aNew.incarnation_ != aOld.incarnation_) {
    return aNew.incarnation_ > aOld.incarnation_;
  }
  return aNew.status_ > aOld.status_;
}

void
AddMember(MembershipState& aMembership,
          const MemberUpdate& aUpdate,
          const Context& aContext,
          ViewChange& aChange)
{
  if (!IsActive(aUpdate) || aMembership.members_.size() >= kMaxMembers) {
    return;
  }
  aMembership.members_[aUpdate.daemon_] = { aUpdate,
                                            aContext.now_,
                                            aContext.now_ };
  ScheduleDissemination(aMembership, aUpdate.daemon_);
  aChange.members_.joined_.push_back(aUpdate.daemon_);
  aChange.addressChanges_.push_back(aUpdate);
}

void
ReportDifference(const MemberUpdate& aOld,
                 const MemberUpdate& aNew,
                 ViewChange& aChange)
{
  const bool wasActive = IsActive(aOld);
  const bool isActive = IsActive(aNew);
  const bool replaced = wasActive && isActive && aOld.session_ != aNew.session_;
  if (wasActive && (!isActive || replaced)) {
    aChange.members_.lost_.push_back(aNew.daemon_);
  }
  if (isActive && (!wasActive || replaced)) {
    aChange.members_.joined_.push_back(aNew.daemon_);
  }
  if (isActive && (!wasActive || aOld.peerAddress_ != aNew.peerAddress_)) {
    aChange.addressChanges_.push_back(aNew);
  }
  aChange.ownersChanged_ =
    aChange.ownersChanged_ || aOld.leaving_ != aNew.leaving_;
}

void
Replace(MembershipState& aMembership,
        Member& aMember,
        const MemberUpdate& aUpdate,
        const Context& aContext,
        ViewChange& aChange)
{
  if (aMember.latest_.status_ != aUpdate.status_) {
    aMember.statusChangedAt_ = aContext.now_;
  }
  if (!IsActive(aMember.latest_) && IsActive(aUpdate)) {
    aMember.heardAt_ = aContext.now_;
  }
  ReportDifference(aMember.latest_, aUpdate, aChange);
  const Offset offset =
    aMember.latest_.session_ == aUpdate.session_
      ? std::max(aMember.latest_.fleetOffset_, aUpdate.fleetOffset_)
      : aUpdate.fleetOffset_;
  const WallTime busyUntil =
    std::max(aMember.latest_.busyUntil_, aUpdate.busyUntil_);
  aMember.latest_ = aUpdate;
  aMember.latest_.fleetOffset_ = offset;
  aMember.latest_.busyUntil_ = busyUntil;
  ScheduleDissemination(aMembership, aUpdate.daemon_);
}

/// Selects the entries that have been sent least often. When many members join
/// at once, no entry has to wait until the others have used up their sends.
std::vector<Member*>
SelectLeastSent(MembershipState& aMembership, const DaemonId& aTo)
{
  std::vector<Member*> selected;
  for (auto& [id, member] : aMembership.members_) {
    if (member.remainingSends_ > 0 && id != aMembership.self_.daemon_ &&
        id != aTo) {
      selected.push_back(&member);
    }
  }
  if (selected.size() > kMaxUpdatesPerMessage) {
    std::ranges::nth_element(
      selected,
      selected.begin() + kMaxUpdatesPerMessage,
      std::greater{},
      [](const Member* aMember) { return aMember->remainingSends_; });
    selected.resize(kMaxUpdatesPerMessage);
  }
  return selected;
}

/// Adds the next entry in turn, which repairs views that have missed an update.
void
AddNextRefresh(MembershipState& aMembership,
               std::vector<MemberUpdate>& aUpdates)
{
  auto& members = aMembership.members_;
  auto refresh = members.upper_bound(aMembership.lastRefreshed_);
  if (refresh == members.end()) {
    refresh = members.begin();
  }
  if (refresh != members.end()) {
    aMembership.lastRefreshed_ = refresh->first;
    aUpdates.push_back(refresh->second.latest_);
  }
}

bool
IsTarget(const MembershipState& aMembership, const DaemonId& aMember)
{
  return std::ranges::find(aMembership.targets_, aMember) !=
         aMembership.targets_.end();
}

void
ExpireMember(MembershipState& aMembership,
             Member& aMember,
             const Context& aContext,
             ViewChange& aChange)
{
  MemberUpdate update = aMember.latest_;
  if (update.status_ == MemberStatus::Alive &&
      IsTarget(aMembership, update.daemon_) &&
      TimeSinceHeard(aMembership, update.daemon_, aContext.now_) >
        kSuspectTimeout) {
    update.status_ = MemberStatus::Suspect;
  } else if (update.status_ == MemberStatus::Suspect &&
             aContext.now_ - aMember.statusChangedAt_ > kRefuteTimeout) {
    update.status_ = MemberStatus::Dead;
  } else {
    return;
  }
  Replace(aMembership, aMember, update, aContext, aChange);
}

} // namespace

void
MergeUpdate(MembershipState& aMembership,
            const MemberUpdate& aUpdate,
            const Context& aContext,
            ViewChange& aChange)
{
  if (aUpdate.daemon_ == aContext.self_) {
    const MemberUpdate& self = aMembership.self_;
    if (Supersedes(aUpdate, self)) {
      aChange.updateToRefute_ = aUpdate;
    }
    return;
  }
  const auto found = aMembership.members_.find(aUpdate.daemon_);
  if (found == aMembership.members_.end()) {
    AddMember(aMembership, aUpdate, aContext, aChange);
    return;
  }
  Member& member = found->second;
  if (Supersedes(aUpdate, member.latest_)) {
    Replace(aMembership, member, aUpdate, aContext, aChange);
  } else if (aUpdate.incarnation_ == member.latest_.incarnation_) {
    member.latest_.fleetOffset_ =
      std::max(member.latest_.fleetOffset_, aUpdate.fleetOffset_);
    member.latest_.busyUntil_ =
      std::max(member.latest_.busyUntil_, aUpdate.busyUntil_);
  }
}

void
ExpireMembers(MembershipState& aMembership,
              const Context& aContext,
              ViewChange& aChange)
{
  for (auto& [id, member] : aMembership.members_) {
    if (id != aContext.self_) {
      ExpireMember(aMembership, member, aContext, aChange);
    }
  }
  std::erase_if(aMembership.members_, [&](const auto& aEntry) {
    return !IsActive(aEntry.second.latest_) &&
           aContext.now_ - aEntry.second.statusChangedAt_ >
             kInactiveMemberRetention;
  });
}

void
ScheduleDissemination(MembershipState& aMembership, const DaemonId& aMember)
{
  const auto doublings =
    static_cast<std::uint32_t>(std::bit_width(aMembership.members_.size()));
  aMembership.members_.at(aMember).remainingSends_ =
    kSendsPerDoubling * (doublings + 1);
}

Duration
TimeSinceHeard(const MembershipState& aMembership,
               const DaemonId& aMember,
               TimePoint aNow)
{
  return aNow - std::max(aMembership.members_.at(aMember).heardAt_,
                         aMembership.listeningSince_);
}

std::vector<MemberUpdate>
CollectUpdates(MembershipState& aMembership, const DaemonId& aTo)
{
  auto& members = aMembership.members_;
  const auto to = members.find(aTo);
  const bool known =
    to != members.end() && to->second.latest_.status_ == MemberStatus::Alive;
  const bool withRefresh = !known || aMembership.ticks_ % kRefreshTicks == 0;
  std::vector<MemberUpdate> updates;
  if (withRefresh || aMembership.ticks_ <= aMembership.selfChangedTick_ + 1) {
    updates.push_back(aMembership.self_);
  }
  if (to != members.end() && !known) {
    updates.push_back(to->second.latest_);
  }
  for (Member* member : SelectLeastSent(aMembership, aTo)) {
    --member->remainingSends_;
    updates.push_back(member->latest_);
  }
  if (withRefresh) {
    AddNextRefresh(aMembership, updates);
  }
  return updates;
}

std::vector<MemberUpdate>
AllUpdates(const MembershipState& aMembership)
{
  std::vector<MemberUpdate> updates;
  updates.reserve(aMembership.members_.size());
  for (const auto& [id, member] : aMembership.members_) {
    updates.push_back(member.latest_);
  }
  return updates;
}

} // namespace verbenawell
