#pragma once

#include "verbenawell/fleet/FleetState.h"

#include <string>
#include <vector>

namespace verbenawell {

/// Result of applying a record to the fleet state.
struct ApplyOutcome
{
  /// Reason for the refusal; empty if the record took effect.
  std::string refusal_;
  /// Subjects that the record changed.
  std::vector<Subject> changed_;
};

/// Applies the record at `aOffset`, or refuses it and leaves all subjects
/// unchanged. The result depends only on the arguments, so that every daemon
/// reaches the same one.
ApplyOutcome
Apply(FleetState& aFleet, Offset aOffset, const FleetRecord& aRecord);

} // namespace verbenawell
