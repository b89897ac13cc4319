#pragma once

#include "verbenawell/core/Ids.h"
#include "verbenawell/core/Time.h"
#include "verbenawell/core/Units.h"
#include "verbenawell/requests/RequestHead.h"

#include <compare>

namespace verbenawell {

/// Whose part of a pool a request uses.
struct ShareKey
{
  ServiceId service_;
  TeamId team_;
  Urgency urgency_ = Urgency::Interactive;

  auto operator<=>(const ShareKey&) const = default;
};

/// Weights and limit that decide the size of a share.
struct ShareTerms
{
  ShareWeight serviceWeight_{ 1 };
  ShareWeight teamWeight_{ 1 };
  /// Most slots the team may hold at once; zero is no limit.
  SlotCount limit_;
};

/// The part of a share that one granted slot uses until it is returned.
struct HeldShare
{
  ShareKey key_;
  /// Counts against the slots that long work may hold.
  bool long_ = false;
  Duration declared_{};
  /// Expected run time, charged when the slot was granted.
  Duration charged_{};
};

} // namespace verbenawell
