#pragma once

#include "verbenawell/core/Ids.h"
#include "verbenawell/core/Time.h"
#include "verbenawell/core/Units.h"
#include "verbenawell/requests/RequestHead.h"

#include <compare>

namespace verbenawell {

/// Identifies the share of a pool that a request uses.
struct ShareKey
{
  ServiceId service_;
  TeamId team_;
  Urgency urgency_ = Urgency::Interactive;

  auto operator<=>(const ShareKey&) const = default;
};

/// Weights and slot limit that determine the size of a share.
struct ShareLimits
{
  ShareWeight serviceWeight_{ 1 };
  ShareWeight teamWeight_{ 1 };
  /// Maximum number of slots of the team at any time; zero means no limit.
  SlotCount slots_;
};

/// What one granted slot is charged to a share until the slot is returned.
struct SlotCharge
{
  ShareKey key_;
  /// The slot counts toward the limit on slots of long work.
  bool isLongWork_ = false;
  /// Run time that the caller declared.
  Duration declared_{};
  /// Expected run time, charged when the slot was granted.
  Duration expectedRunTime_{};
};

} // namespace verbenawell
