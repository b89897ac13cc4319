#pragma once

#include "verbenawell/core/Random.h"
#include "verbenawell/core/Time.h"
#include "verbenawell/membership/Messages.h"

#include <cstdint>
#include <map>
#include <string>
#include <unordered_map>
#include <vector>

namespace verbenawell {

struct Member
{
  MemberUpdate latest_;
  /// Last response of the member to this daemon, or to another one that pinged
  /// it on this daemon's behalf.
  TimePoint heardAt_;
  /// Last change of `latest_.status_`.
  TimePoint statusChangedAt_{};
  /// Number of further messages that include `latest_` because it has changed.
  std::uint32_t remainingSends_ = 0;
  /// The member is one of those of which this daemon must hear a majority.
  bool isVoter_ = true;
};

/// A ping sent on behalf of another member.
struct RelayedPing
{
  DaemonId requester_;
  DaemonId target_;
  std::uint64_t sequence_ = 0;
  TimePoint at_;
};

/// This daemon's view of all daemons, itself included.
struct MembershipState
{
  MemberUpdate self_;
  std::vector<Endpoint> seeds_;
  Random random_;
  std::map<DaemonId, Member> members_;

  /// This daemon hears a majority of the voters. It owns nothing without one.
  bool hasMajority_ = true;
  /// The majority has lasted long enough for the view to be complete. Both this
  /// and `hasMajority_` are true in a state that has not processed `Started`,
  /// for tests of other modules.
  bool hasStableMajority_ = true;
  /// Readiness last reported with `SetReady`.
  bool ready_ = false;
  /// This daemon has had a stable majority since its process started.
  bool hadStableMajority_ = false;
  TimePoint majoritySince_;

  TimePoint lastTickAt_;
  /// Time before this does not count as time without a response, because this
  /// daemon was not running.
  TimePoint listeningSince_;
  std::uint64_t ticks_ = 0;
  /// Tick in which `self_` last changed.
  std::uint64_t selfChangedTick_ = 0;
  std::uint64_t lastSequence_ = 0;

  /// Members pinged each period.
  std::vector<DaemonId> targets_;
  /// Member whose unchanged entry was sent last. Such entries are sent in turn,
  /// in case other members have missed an update.
  DaemonId lastRefreshed_;
  std::vector<RelayedPing> relayedPings_;

  /// Cache of the owners computed since the last change of `members_`.
  mutable std::unordered_map<std::string, DaemonId> cachedOwners_;
};

/// Tells whether the member is alive or only suspected of being dead.
inline bool
IsActive(const MemberUpdate& aMember)
{
  return aMember.status_ == MemberStatus::Alive ||
         aMember.status_ == MemberStatus::Suspect;
}

} // namespace verbenawell
