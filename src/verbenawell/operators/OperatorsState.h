#pragma once

#include "verbenawell/core/Ids.h"
#include "verbenawell/core/Time.h"
#include "verbenawell/fleet/FleetRecord.h"
#include "verbenawell/operators/Consequences.h"

#include <cstdint>
#include <optional>
#include <unordered_map>

namespace verbenawell {

/// A change that has been sent to the log and whose outcome is not known yet.
struct PendingCommand
{
  CommandKey key_;
  TimePoint deadline_;
  /// Subject of the change. If the change is refused, the response reports the
  /// version of the subject that is in force.
  std::optional<Subject> subject_;
  /// Predicted consequences, compared with the fleet once the change is in
  /// force.
  Consequences expected_;
};

struct OperatorsState
{
  std::unordered_map<RecordId, PendingCommand> pending_;
  std::uint64_t lastRecord_ = 0;
  /// Start time of this daemon process. Record ids contain it, so that a
  /// restarted daemon does not reuse ids.
  std::uint64_t session_ = 0;
};

} // namespace verbenawell
