#pragma once

#include "verbenawell/fleet/FleetState.h"
#include "verbenawell/fleet/VmFacts.h"
#include "verbenawell/planner/FleetIndex.h"
#include "verbenawell/planner/Placement.h"

#include <cstdint>
#include <vector>

namespace verbenawell::bench {

struct FleetShape
{
  int vms_ = 0;
  int zones_ = 0;
  int vmsPerRack_ = 4;
  /// Availability budget of each pool.
  std::vector<std::uint32_t> budgets_;
};

/// Budgets of five services on about 50 workers, 8 to 12 a service.
FleetShape
DalkomShape();
FleetShape
HoangPhucShape();

/// A shape of another size: pools of budgets that ask for most of the VMs.
FleetShape
ShapeOfSize(int aVms, int aPools, int aZones);

std::vector<VmFacts>
MakeVms(const FleetShape& aShape);
std::vector<PoolDemand>
MakeDemands(const FleetShape& aShape);

/// A fleet folded from records; the index follows each change.
class PlannedFleet
{
public:
  /// Places the shape from nothing and records the result.
  explicit PlannedFleet(const FleetShape& aShape);

  /// Folds one change; returns false where it was refused.
  bool Record(FleetChange aChange);

  [[nodiscard]] const FleetState& Fleet() const { return fleet_; }
  [[nodiscard]] const FleetIndex& Index() const { return index_; }

private:
  FleetState fleet_;
  FleetIndex index_;
};

PoolId
PoolOf(std::size_t aNumber);

} // namespace verbenawell::bench
