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
  /// Last answer from the member, or word from another one that got one.
  TimePoint heardAt_;
  /// Last change of `latest_.status_`.
  TimePoint statusChangedAt_{};
  /// Messages that still carry `latest_` because it is news.
  std::uint32_t remainingSends_ = 0;
  /// The member counts in the number of which this daemon needs a majority.
  bool isVoter_ = true;
};

/// A ping made for another member.
struct RelayedPing
{
  DaemonId requester_;
  DaemonId target_;
  std::uint64_t sequence_ = 0;
  TimePoint at_;
};

/// The view that this daemon has of all daemons, itself included.
struct MembershipState
{
  MemberUpdate self_;
  std::vector<Endpoint> seeds_;
  Random random_;
  std::map<DaemonId, Member> members_;

  /// This daemon hears a majority of the members. Without it, it owns nothing.
  bool hasMajority_ = true;
  /// The majority has held long enough for the view to be complete. Both are
  /// true in a state that has not seen `Started`, for tests of other modules.
  bool settled_ = true;
  bool ready_ = false;
  /// This daemon has had a settled majority since its process started.
  bool joined_ = false;
  TimePoint majoritySince_;

  TimePoint lastTickAt_;
  /// Silence before this time does not count: this daemon was not running.
  TimePoint listeningSince_;
  std::uint64_t ticks_ = 0;
  /// Tick in which `self_` changed last.
  std::uint64_t selfChangedTick_ = 0;
  std::uint64_t lastSequence_ = 0;

  /// Members pinged each period.
  std::vector<DaemonId> targets_;
  /// The member whose entry is sent next for those that missed its news.
  DaemonId lastRefreshed_;
  std::vector<RelayedPing> relayedPings_;

  /// Owners computed since the last change; holds nothing that `members_`
  /// does not determine.
  mutable std::unordered_map<std::string, DaemonId> owners_;
};

/// Tells whether the member takes part: alive or merely suspected.
inline bool
IsActive(const MemberUpdate& aMember)
{
  return aMember.status_ == MemberStatus::Alive ||
         aMember.status_ == MemberStatus::Suspect;
}

} // namespace verbenawell
