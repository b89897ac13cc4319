#pragma once

#include "verbenawell/fleet/FleetState.h"
#include "verbenawell/fleet/VmFacts.h"
#include "verbenawell/planner/FleetIndex.h"
#include "verbenawell/planner/Placement.h"

#include <cstdint>
#include <vector>

namespace verbenawell::bench {

/// Size of a fleet and budgets of its pools.
struct FleetShape
{
  int vms_ = 0;
  int zones_ = 0;
  int vmsPerRack_ = 4;
  /// Availability budget of each pool.
  std::vector<std::uint32_t> budgets_;
};

/// Fleets of the size of two deployments: 50 VMs and five services with 8 to 12
/// workers each.
FleetShape
DalkomShape();
FleetShape
HoangPhucShape();

/// A fleet of another size, with equal budgets that ask for most of the VMs.
FleetShape
MakeFleetShape(int aVms, int aPools, int aZones);

std::vector<VmFacts>
MakeVms(const FleetShape& aShape);
std::vector<PoolDemand>
MakeDemands(const FleetShape& aShape);

/// A fleet state built by applying records, with an index that is updated with
/// each record.
class SimulatedFleet
{
public:
  /// Places all VMs of the shape and applies the records of the placement.
  explicit SimulatedFleet(const FleetShape& aShape);

  /// Applies one change; returns false if it was rejected.
  bool ApplyChange(FleetChange aChange);

  [[nodiscard]] const FleetState& Fleet() const { return fleet_; }
  [[nodiscard]] const FleetIndex& Index() const { return index_; }

private:
  FleetState fleet_;
  FleetIndex index_;
};

PoolId
MakePoolId(std::size_t aNumber);

} // namespace verbenawell::bench
