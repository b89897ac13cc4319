#pragma once

#include "verbenawell/core/Random.h"
#include "verbenawell/core/Time.h"
#include "verbenawell/jobs/ownership/OwnerRecord.h"

#include <optional>
#include <string>
#include <variant>

namespace verbenawell::jobs {

/// Another daemon owns, or none does.
struct Following
{};

/// The own claim is on its way to the store.
struct Claiming
{};

/// This daemon decides.
struct Owning
{
  Epoch epoch_;
  /// Send time of the newest renewal that the store confirmed.
  TimePoint confirmedAt_;
  TimePoint takenAt_;
};

using OwnerRole = std::variant<Following, Claiming, Owning>;

struct OwnershipState
{
  /// This daemon's own record.
  OwnerRecord self_;
  Random random_;
  OwnerRole role_;
  /// Newest record of the topic.
  std::optional<OwnerRecord> owner_;
  Offset end_;
  bool hasRead_ = false;
  bool isStopping_ = false;
  /// Since when the newest record names its owner.
  TimePoint ownerSince_;
  /// When the newest renewal was read.
  TimePoint renewedAt_;
  /// Since when the topic is read without a failure.
  TimePoint readingSince_;
  /// When the append on its way was sent; empty without one.
  std::optional<TimePoint> appendSentAt_;
  /// How long this daemon watches a silent owner before it claims.
  Duration claimJitter_{};

  [[nodiscard]] const Owning* AsOwner() const
  {
    return std::get_if<Owning>(&role_);
  }
};

} // namespace verbenawell::jobs
