#pragma once

#include "verbenawell/fleet/VmFacts.h"

#include <vector>

namespace verbenawell {

/// Requirements of a pool in a placement of the whole fleet.
struct PoolDemand
{
  PoolId pool_;
  VmCount budget_;
  /// Largest job that each of the pool's VMs must be able to run.
  Resources job_;
};

struct Assignment
{
  VmId vm_;
  PoolId pool_;
};

/// Plan that assigns the VMs of a fleet to pools.
struct Placement
{
  std::vector<Assignment> pools_;
  /// Minimum set of spare VMs that covers the loss of any one zone.
  std::vector<VmId> spares_;
  /// VMs that are needed neither for a budget nor as a spare.
  std::vector<VmId> unassigned_;
  /// VMs that the pools lack to meet their budgets, plus one if the spares do
  /// not cover the loss of every zone.
  VmCount shortfall_;
};

/// Places all pools over the zones of the fleet, regardless of current pools,
/// so that with the spare VMs every budget holds after the loss of any one
/// zone.
Placement
PlaceAllPools(const std::vector<VmFacts>& aVms,
              std::vector<PoolDemand> aDemands);

} // namespace verbenawell
