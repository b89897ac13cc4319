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
  /// Its tasks have to end first.
  bool drainsFirst_ = false;
};

/// Moves that bring VMs to the pools that want more than they have, then moves
/// that take idle visitors home.
std::vector<PlannedMove>
PlanMoves(const PoolsState& aState,
          const Views& aViews,
          const std::map<ServiceId, PoolDemand>& aDemand,
          const Context& aContext);

/// Tells whether the VMs of a pool are off.
bool
IsSparePool(const Views& aViews, const ServiceId& aPool);

} // namespace verbenawell::jobs
