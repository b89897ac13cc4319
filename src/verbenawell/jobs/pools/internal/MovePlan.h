#pragma once

#include "verbenawell/core/Context.h"
#include "verbenawell/jobs/core/Views.h"
#include "verbenawell/jobs/pools/PoolDemand.h"

#include <map>
#include <vector>

namespace verbenawell::jobs {

struct PoolsState;

struct PlannedMove
{
  VmId vm_;
  ServiceId to_;
  /// The VM's tasks have to end before the command is sent.
  bool drainsFirst_ = false;
};

/// Plans moves of VMs to the pools that require more than they have, then moves
/// of idle borrowed VMs back to their home pools.
std::vector<PlannedMove>
PlanMoves(const PoolsState& aState,
          const Views& aViews,
          const std::map<ServiceId, PoolDemand>& aDemand,
          const Context& aContext);

/// Tells whether a pool is a spare pool, whose VMs are off.
bool
IsSparePool(const Views& aViews, const ServiceId& aPool);

} // namespace verbenawell::jobs
