#pragma once

#include "verbenawell/fleet/FleetState.h"

#include <string>
#include <vector>

namespace verbenawell {

struct FoldOutcome
{
  /// Empty where the record took effect.
  std::string refusal_;
  std::vector<Subject> changed_;
};

/// Applies the record at `aOffset`, or refuses it without any change. The
/// result depends on nothing but the arguments: every daemon decides alike.
FoldOutcome
Apply(FleetState& aFleet, Offset aOffset, const FleetRecord& aRecord);

} // namespace verbenawell
