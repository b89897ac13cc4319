#pragma once

#include "verbenawell/planner/FleetIndex.h"

#include <set>
#include <vector>

namespace verbenawell {

/// Demand on the spare pool after the loss of one availability zone.
struct ZoneLoss
{
  ZoneId zone_;
  /// VMs that the pools would lack to meet their budgets.
  VmCount missing_;
  /// Spare VMs in the other zones.
  VmCount spares_;
};

/// How well the spare pool covers the loss of one availability zone.
struct SpareAssessment
{
  /// The zone whose loss leaves the smallest margin of spare VMs; empty if
  /// there are no VMs.
  ZoneLoss worstLoss_;
  /// Tells whether the spare pool covers the loss of any one zone.
  bool coversAnyZoneLoss_ = true;
};

SpareAssessment
AssessSpares(const FleetIndex& aIndex);

struct PlannedMove
{
  VmId vm_;
  PoolId from_;
  PoolId to_;
};

/// Plans moves out of the spare pool that bring each pool back to its budget,
/// and the pools of `aWavePools` to one VM more, because their waves could not
/// stop a VM otherwise. There is one move per missing VM, which is the minimum.
std::vector<PlannedMove>
PlanRefills(const FleetIndex& aIndex,
            const PoolId& aSparePool,
            const std::set<PoolId>& aWavePools);

} // namespace verbenawell
