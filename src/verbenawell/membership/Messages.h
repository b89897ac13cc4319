#pragma once

#include "verbenawell/core/Endpoint.h"
#include "verbenawell/core/Ids.h"
#include "verbenawell/core/Time.h"
#include "verbenawell/core/Units.h"

#include <cstdint>
#include <vector>

namespace verbenawell {

enum class MemberStatus : std::uint8_t
{
  Alive,
  Suspect,
  Dead,
  Left,
};

/// What one daemon says about another.
struct MemberUpdate
{
  DaemonId daemon_;
  Incarnation incarnation_;
  MemberStatus status_ = MemberStatus::Alive;
  Endpoint peerAddress_;
  ZoneId zone_;
  RegionId region_;
  /// Offset of the fleet stream in force at the daemon.
  Offset fleetOffset_;
  MemberRun run_;
  /// The daemon finishes its requests and owns nothing any more.
  bool leaving_ = false;
  /// No request of its callers runs after this time. It never goes back.
  WallTime busyUntil_;
};

/// Asks a member for an `Ack`; carries membership changes.
struct Ping
{
  std::uint64_t sequence_ = 0;
  std::vector<MemberUpdate> updates_;
};

struct Ack
{
  std::uint64_t sequence_ = 0;
  std::vector<MemberUpdate> updates_;
  /// The member that was heard on behalf of the receiver; empty in an answer
  /// of the pinged member itself.
  DaemonId about_;
};

/// Asks a third member to ping `target_` because it does not answer here.
struct PingRequest
{
  std::uint64_t sequence_ = 0;
  DaemonId target_;
};

} // namespace verbenawell
