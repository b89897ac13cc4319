#pragma once

#include "verbenawell/core/Ids.h"
#include "verbenawell/core/Time.h"
#include "verbenawell/fleet/FleetRecord.h"
#include "verbenawell/operators/Consequences.h"

#include <cstdint>
#include <optional>
#include <unordered_map>

namespace verbenawell {

/// A command whose record has not settled yet.
struct PendingCommand
{
  CommandKey key_;
  TimePoint deadline_;
  /// What the change is about: shown as it is where the change is refused.
  std::optional<Subject> subject_;
  /// Compared with the fleet once the change is in force.
  Consequences expected_;
};

struct OperatorsState
{
  std::unordered_map<RecordId, PendingCommand> pending_;
  std::uint64_t lastRecord_ = 0;
  /// Makes record ids of different runs of a daemon differ.
  std::uint64_t run_ = 0;
};

} // namespace verbenawell
