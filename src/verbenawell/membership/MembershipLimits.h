#pragma once

#include "verbenawell/core/Time.h"

#include <cstddef>

namespace verbenawell {

inline constexpr Duration kPingInterval = std::chrono::milliseconds(250);

/// Silence after which others are asked to ping a member.
inline constexpr Duration kIndirectPingAfter = std::chrono::milliseconds(500);

inline constexpr Duration kSuspectTimeout = std::chrono::milliseconds(1000);

/// Time that a suspect has to refute it.
inline constexpr Duration kRefuteTimeout = std::chrono::milliseconds(500);

/// A gap between ticks above this is a pause of this process, in which others
/// may have declared it dead.
inline constexpr Duration kMaxTickGap = std::chrono::milliseconds(1000);

/// How long a dead member still counts for the majority.
inline constexpr Duration kDeadVoterRetention = std::chrono::seconds(10);

/// A majority must hold for this time before this daemon owns anything: two
/// ping periods, in which the other members' views arrive.
inline constexpr Duration kMajorityStabilityTime =
  std::chrono::milliseconds(500);

/// How long dead members are remembered, so that old news does not revive
/// them, and pinged, so that both sides of a partition meet again.
inline constexpr Duration kInactiveMemberRetention = std::chrono::minutes(10);

/// Up to this many other members, each daemon pings all others. A full mesh of
/// 9 daemons exchanged 17.8 KB a second, twice what control may cost.
inline constexpr std::size_t kMaxFullMeshPeers = 3;

/// Above it, each daemon pings one member in each of several random rings, so
/// that its traffic does not grow with their number and each member is
/// watched by as many others.
inline constexpr std::size_t kPingRings = 3;

/// Every so many ticks messages carry the own entry and one of another member
/// although neither has changed. In every message they were 5.8 KB a second.
inline constexpr std::size_t kRefreshTicks = 4;

/// A daemon that is cut off may begin requests for this time, unheard, until it
/// has lost its majority.
inline constexpr Duration kMaxIsolatedStartTime = std::chrono::seconds(3);

/// Added to the time until which a daemon says that its requests run, so that
/// a steady load changes it each few seconds only.
inline constexpr Duration kBusyMargin = std::chrono::seconds(6);

inline constexpr std::size_t kMaxIndirectPingHelpers = 3;
/// Changes of other members that one message carries.
inline constexpr std::size_t kMaxUpdatesPerMessage = 10;
inline constexpr std::size_t kMaxRelayedPings = 64;
inline constexpr std::size_t kMaxMembers = 4096;

/// Seeds pinged each period by a daemon that has not joined. Each answers with
/// its whole view, so that all of a long list would send as many copies.
inline constexpr std::size_t kMaxSeedsPerPeriod = 4;

/// Every so many ticks a dead member and an unheard seed are pinged.
inline constexpr std::size_t kInactivePingTicks = 4;

} // namespace verbenawell
