#pragma once

#include "verbenawell/planner/FleetIndex.h"

#include <set>
#include <vector>

namespace verbenawell {

/// What the loss of one availability zone would ask of the spare pool.
struct ZoneLoss
{
  ZoneId zone_;
  /// VMs that the pools would miss.
  VmCount missing_;
  /// Spare VMs in the other zones.
  VmCount spares_;
};

struct SpareNeed
{
  /// The zone whose loss asks for the most; empty where there are no VMs.
  ZoneLoss worst_;
  /// Tells whether the spare pool covers the loss of any one zone.
  bool covered_ = true;
};

SpareNeed
AssessSpares(const FleetIndex& aIndex);

struct PlannedMove
{
  VmId vm_;
  PoolId from_;
  PoolId to_;
};

/// Moves out of the spare pool that bring each pool back to its budget, and
/// to one VM more in the pools of `aWavePools`, whose waves could not stop a
/// VM otherwise. One move a missing VM: no plan needs fewer.
std::vector<PlannedMove>
PlanRefills(const FleetIndex& aIndex,
            const PoolId& aSparePool,
            const std::set<PoolId>& aWavePools);

} // namespace verbenawell
