#pragma once

#include "verbenawell/core/Context.h"
#include "verbenawell/core/Units.h"
#include "verbenawell/jobs/core/Views.h"
#include "verbenawell/jobs/model/Ids.h"
#include "verbenawell/jobs/pools/ArrivalRate.h"

#include <map>

namespace verbenawell::jobs {

/// The VMs that a pool has, and those that its work requires.
struct PoolDemand
{
  /// VMs whose workers take tasks.
  std::uint32_t activeVms_ = 0;
  /// VMs required for the waiting work and for the arriving work.
  std::uint32_t requiredVms_ = 0;
  /// VMs required for the arriving work alone.
  std::uint32_t requiredByArrivals_ = 0;
  /// VMs over which the long-running tasks have to be spread, and one more to
  /// replace a lost VM.
  std::uint32_t minVms_ = 1;
  /// Active VMs on the rack that has the most of them.
  std::uint32_t vmsOfLargestRack_ = 0;
};

/// Computes the demand of each pool from its waiting work and its arrival rate.
/// The load of one queue after another rises to several times its mean.
std::map<ServiceId, PoolDemand>
ComputePoolDemand(const Views& aViews,
                  const std::map<ServiceId, ArrivalRate>& aArrivals,
                  const Context& aContext);

} // namespace verbenawell::jobs
