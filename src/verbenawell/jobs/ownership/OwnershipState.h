#pragma once

#include "verbenawell/core/Random.h"
#include "verbenawell/core/Time.h"
#include "verbenawell/jobs/ownership/OwnerRecord.h"

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <variant>

namespace verbenawell::jobs {

/// Time after its last renewal at which an owner is replaced. Two consecutive
/// renewals may be lost or late.
inline constexpr Duration kOwnerTimeout = std::chrono::milliseconds(2500);

/// Another daemon is the owner, or there is none.
struct Following
{};

/// This daemon has sent a claim to the store, whose result is not known yet.
struct Claiming
{};

/// This daemon is the owner.
struct Owning
{
  Epoch epoch_;
  /// Send time of the newest renewal that the store confirmed.
  TimePoint renewalSentAt_;
  TimePoint takenAt_;
  /// The owner before was alive, so it may have sent commands for VMs after the
  /// claim.
  bool isFromLiveOwner_ = false;

  /// Returns whether the newest confirmed renewal is so young that no daemon
  /// has taken this one for unresponsive.
  [[nodiscard]] bool IsConfirmed(TimePoint aNow) const
  {
    return aNow < ConfirmedUntil();
  }

  [[nodiscard]] TimePoint ConfirmedUntil() const
  {
    return renewalSentAt_ + kOwnerTimeout;
  }
};

using OwnerRole = std::variant<Following, Claiming, Owning>;

struct OwnershipState
{
  /// This daemon's own record, as it is appended in a claim.
  OwnerRecord self_;
  Random random_;
  OwnerRole role_;
  /// Newest known owner record.
  std::optional<OwnerRecord> owner_;
  /// Offset just past the newest known record of the topic.
  Offset end_;
  bool hasRead_ = false;
  bool isStopping_ = false;
  /// Since when `owner_` names the same process and epoch.
  TimePoint ownerSince_;
  /// When the newest owner record was read; without one, when reading began.
  TimePoint renewedAt_;
  /// Since when reads of the topic succeed; `TimePoint::max()` after a failure.
  TimePoint readingSince_;
  /// When the append in flight was sent; empty if there is none.
  std::optional<TimePoint> appendSentAt_;
  /// Random delay that this daemon adds to the time-out before it claims.
  Duration claimJitter_{};
  /// Number of shards in the newest append, which is not yet confirmed.
  ShardCount appendedShards_;
  /// Number of shards in a record of the topic; zero until one names it.
  ShardCount publishedShards_;
  /// The claim in flight is made against an owner that is alive.
  bool claimsFromLiveOwner_ = false;
  /// Number of other shards that this daemon owns or is about to own.
  std::uint32_t ownedElsewhere_ = 0;
  /// The owner of this shard also owns one with a lower index.
  bool isOwnerBusyElsewhere_ = false;

  [[nodiscard]] const Owning* AsOwner() const
  {
    return std::get_if<Owning>(&role_);
  }
};

} // namespace verbenawell::jobs
