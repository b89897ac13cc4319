#pragma once

#include "verbenawell/core/Time.h"

#include <cstddef>

namespace verbenawell {

inline constexpr Duration kPingInterval = std::chrono::milliseconds(250);

/// Time without a response after which other members are asked to ping a
/// member.
inline constexpr Duration kIndirectPingAfter = std::chrono::milliseconds(500);

/// Time without a response after which a member becomes suspect.
inline constexpr Duration kSuspectTimeout = std::chrono::milliseconds(1000);

/// Time in which a suspect member can refute the suspicion.
inline constexpr Duration kRefuteTimeout = std::chrono::milliseconds(500);

/// A longer gap between two ticks counts as a pause of this process, during
/// which others may have declared it dead.
inline constexpr Duration kMaxTickGap = std::chrono::milliseconds(1000);

/// How long a dead member remains a voter while this daemon has a majority.
inline constexpr Duration kDeadVoterRetention = std::chrono::seconds(10);

/// A majority must last this long before this daemon owns anything. The time
/// covers two ping periods, in which the other members' views arrive.
inline constexpr Duration kMajorityStabilityTime =
  std::chrono::milliseconds(500);

/// How long dead members are kept in the view, so that an old update does not
/// revive them, and pinged, so that both sides of a partition find each other
/// again.
inline constexpr Duration kInactiveMemberRetention = std::chrono::minutes(10);

/// Up to this many other members, each daemon pings all of them; with more,
/// only some, to limit the traffic. A full mesh of 9 daemons exchanges 17.8
/// KB/s, twice the budget for control traffic.
inline constexpr std::size_t kMaxFullMeshPeers = 3;

/// With more members, each daemon pings its successor in each of this many
/// random rings. Its traffic then does not grow with the number of members, and
/// each member is watched by the same number of others.
inline constexpr std::size_t kPingRings = 3;

/// Once in this many ticks, messages include this daemon's own entry and one of
/// another member even if neither has changed. In every message, they would
/// add 5.8 KB/s of traffic.
inline constexpr std::size_t kRefreshTicks = 4;

/// Time for which a daemon that is cut off from the others may go on starting
/// requests, until it has lost its majority.
inline constexpr Duration kMaxIsolatedStartTime = std::chrono::seconds(3);

/// Added to the time until which a daemon announces that its requests run, so
/// that under a steady load the announcement changes only every few seconds.
inline constexpr Duration kBusyMargin = std::chrono::seconds(6);

/// Maximum number of members that are asked to ping an unresponsive one.
inline constexpr std::size_t kMaxIndirectPingHelpers = 3;
/// Maximum number of changed entries of other members in one message.
inline constexpr std::size_t kMaxUpdatesPerMessage = 10;
/// Maximum number of unfinished pings on behalf of other members.
inline constexpr std::size_t kMaxRelayedPings = 64;
inline constexpr std::size_t kMaxMembers = 4096;

/// Maximum number of seeds that a daemon without a stable majority pings per
/// period. Each seed responds with its whole view, so that pinging a long list
/// would return as many copies of it.
inline constexpr std::size_t kMaxSeedsPerPeriod = 4;

/// Once in this many ticks, one dead member or seed that is not an active
/// member is pinged.
inline constexpr std::size_t kInactivePingTicks = 4;

} // namespace verbenawell
