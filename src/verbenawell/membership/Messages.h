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

/// Entry about one daemon that daemons exchange.
struct MemberUpdate
{
  DaemonId daemon_;
  Incarnation incarnation_;
  MemberStatus status_ = MemberStatus::Alive;
  Endpoint peerAddress_;
  ZoneId zone_;
  RegionId region_;
  /// Offset of the fleet state in force at the daemon.
  Offset fleetOffset_;
  MemberSession session_;
  /// The daemon is shutting down: it finishes its requests and owns nothing.
  bool leaving_ = false;
  /// No request of the daemon's callers runs after this time, which never
  /// decreases.
  WallTime busyUntil_;
};

/// Asks a member for an `Ack`; includes membership updates.
struct Ping
{
  std::uint64_t sequence_ = 0;
  std::vector<MemberUpdate> updates_;
};

struct Ack
{
  std::uint64_t sequence_ = 0;
  std::vector<MemberUpdate> updates_;
  /// Member that responded to a ping on behalf of the receiver; empty in the
  /// response of the pinged member itself.
  DaemonId relayedMember_;
};

/// Asks another member to ping `target_`, which does not respond to the sender.
struct PingRequest
{
  std::uint64_t sequence_ = 0;
  DaemonId target_;
};

} // namespace verbenawell
