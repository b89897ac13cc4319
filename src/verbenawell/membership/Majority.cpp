#include "verbenawell/membership/Majority.h"

#include "verbenawell/membership/MemberUpdates.h"
#include "verbenawell/membership/MembershipLimits.h"
#include "verbenawell/membership/MembershipState.h"

#include <algorithm>

namespace verbenawell {

namespace {

bool
IsUnresponsiveTarget(const MembershipState& aMembership,
                     const DaemonId& aMember,
                     TimePoint aNow)
{
  return std::ranges::find(aMembership.targets_, aMember) !=
           aMembership.targets_.end() &&
         TimeSinceHeard(aMembership, aMember, aNow) > kSuspectTimeout;
}

// With many members, a daemon hears only a few of them directly. These are a
// random sample: if most of them are unresponsive, most members are. This shows
// long before an update has reported the death of each member.
bool
AreMostTargetsUnresponsive(const MembershipState& aMembership, TimePoint aNow)
{
  const auto unresponsive =
    std::ranges::count_if(aMembership.targets_, [&](const DaemonId& aTarget) {
      return IsUnresponsiveTarget(aMembership, aTarget, aNow);
    });
  return 2 * static_cast<std::size_t>(unresponsive) >
         aMembership.targets_.size();
}

std::size_t
CountSeedsAndSelf(const MembershipState& aMembership)
{
  const auto others =
    std::ranges::count_if(aMembership.seeds_, [&](const Endpoint& aSeed) {
      return aSeed != aMembership.self_.peerAddress_;
    });
  return static_cast<std::size_t>(others) + 1;
}

} // namespace

bool
HearsMajority(const MembershipState& aMembership, const Context& aContext)
{
  std::size_t voters = 0;
  std::size_t heardVoters = 0;
  bool hearsLowest = false;
  for (const auto& [id, member] : aMembership.members_) {
    if (!member.isVoter_) {
      continue;
    }
    const bool isHeard =
      id == aContext.self_ ||
      (IsActive(member.latest_) &&
       !IsUnresponsiveTarget(aMembership, id, aContext.now_));
    hearsLowest = voters == 0 ? isHeard : hearsLowest;
    ++voters;
    heardVoters += isHeard ? 1 : 0;
  }
  const std::size_t configured = CountSeedsAndSelf(aMembership);
  const std::size_t expected =
    aMembership.hadStableMajority_ ? voters : std::max(voters, configured);
  // Half of the voters is not enough if daemons have left: one that comes back
  // on the other side of a partition would give that side a majority.
  if (2 * heardVoters == expected) {
    return voters == expected && voters >= configured && hearsLowest;
  }
  return 2 * heardVoters > expected &&
         !(aMembership.targets_.size() < voters / 2 &&
           AreMostTargetsUnresponsive(aMembership, aContext.now_));
}

void
UpdateVoters(MembershipState& aMembership, const Context& aContext)
{
  for (auto& [id, member] : aMembership.members_) {
    const MemberUpdate& latest = member.latest_;
    if (IsActive(latest)) {
      member.isVoter_ = true;
    } else if (latest.status_ == MemberStatus::Left) {
      member.isVoter_ = false;
    } else if (aMembership.hasMajority_) {
      member.isVoter_ =
        member.isVoter_ &&
        aContext.now_ - member.statusChangedAt_ <= kDeadVoterRetention;
    }
  }
}

} // namespace verbenawell
