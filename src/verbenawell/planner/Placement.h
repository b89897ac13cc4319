#pragma once

#include "verbenawell/fleet/VmFacts.h"

#include <vector>

namespace verbenawell {

/// What a pool needs when it is placed from nothing.
struct PoolDemand
{
  PoolId pool_;
  VmCount budget_;
  /// Largest job that each of the pool's VMs must hold.
  Resources job_;
};

struct Assignment
{
  VmId vm_;
  PoolId pool_;
};

struct Placement
{
  std::vector<Assignment> pools_;
  /// The least spare VMs that cover the loss of any one zone.
  std::vector<VmId> spares_;
  /// VMs that no budget asks for.
  std::vector<VmId> unassigned_;
  /// Pools that did not get their budget, or spares that were missing.
  VmCount missing_;
};

/// Places pools over the zones of a fleet so that with the spare VMs every
/// budget holds after the loss of any one zone.
Placement
PlaceFromNothing(const std::vector<VmFacts>& aVms,
                 std::vector<PoolDemand> aDemands);

} // namespace verbenawell
