#pragma once

#include "verbenawell/fleet/FleetState.h"
#include "verbenawell/operators/OperatorResponse.h"

#include <string>
#include <vector>

namespace verbenawell {

/// Budget and serving VMs of one service before and after a change.
struct ServiceEffect
{
  ServiceId service_;
  VmCount budgetBefore_;
  VmCount budgetAfter_;
  VmCount servingBefore_;
  VmCount servingAfter_;
};

/// Predicted consequences of a change, assuming that it takes effect now.
struct Consequences
{
  /// Why the change would be refused; empty if it would be accepted.
  std::string refusal_;
  /// Reasons why the operator has to confirm the change.
  std::vector<std::string> dangers_;
  std::vector<ServiceEffect> services_;
  /// Further tables: the cost of a wave, and whether the spare pool covers the
  /// loss of a zone.
  std::vector<Table> tables_;
  /// Hash of the consequences. By repeating the command with this code, the
  /// operator confirms exactly these consequences.
  std::string confirmationCode_;
};

/// Predicts the consequences of a record: applies it to a copy of the fleet and
/// compares the copy with the original.
Consequences
AssessChange(const FleetState& aFleet,
             const FleetRecord& aRecord,
             Duration aRebootTime);

Table
BuildConsequencesTable(const Consequences& aConsequences);

/// Expected and actual number of serving VMs of each affected service.
Table
CompareWithActualState(const Consequences& aConsequences,
                       const FleetState& aFleet);

} // namespace verbenawell
