#pragma once

#include "verbenawell/fleet/FleetState.h"
#include "verbenawell/operators/OperatorAnswer.h"

#include <string>
#include <vector>

namespace verbenawell {

/// What a change does to one service.
struct ServiceEffect
{
  ServiceId service_;
  VmCount budgetBefore_;
  VmCount budgetAfter_;
  VmCount servingBefore_;
  VmCount servingAfter_;
};

/// What a change would do if it took effect now.
struct Consequences
{
  /// Why the change would be refused; empty where it would not.
  std::string refusal_;
  /// Reasons to ask for a confirmation.
  std::vector<std::string> dangers_;
  std::vector<ServiceEffect> services_;
  /// Further facts: a wave's cost, the spare pool after a zone's loss.
  std::vector<Table> tables_;
  /// Repeating it confirms exactly these consequences.
  std::string code_;
};

/// Applies the change to a copy of the fleet and compares.
Consequences
Assess(const FleetState& aFleet,
       const FleetRecord& aRecord,
       Duration aRebootTime);

Table
BuildConsequencesTable(const Consequences& aConsequences);

/// Expected and actual state of the affected services after the change.
Table
CompareWithActualState(const Consequences& aConsequences,
                       const FleetState& aFleet);

} // namespace verbenawell
