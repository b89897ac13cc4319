#pragma once

#include "verbenawell/core/Context.h"
#include "verbenawell/core/Units.h"
#include "verbenawell/jobs/core/Views.h"
#include "verbenawell/jobs/model/Ids.h"
#include "verbenawell/jobs/pools/ArrivalRate.h"

#include <map>

namespace verbenawell::jobs {

/// The VMs of a pool against the work that waits for them.
struct PoolDemand
{
  /// VMs whose workers take tasks.
  std::uint32_t working_ = 0;
  /// VMs for the waiting work and for what keeps arriving.
  std::uint32_t wanted_ = 0;
  /// Those of them that the arrivals alone ask for.
  std::uint32_t requiredByArrivals_ = 0;
  /// VMs over which the tasks that last have to spread, and one to replace a
  /// lost one of them.
  std::uint32_t minVms_ = 1;
};

/// Answers queues that take turns to ask for several times their mean: the
/// waiting work and the rate of arrivals decide how many VMs a pool wants.
std::map<ServiceId, PoolDemand>
DemandOf(const Views& aViews,
         const std::map<ServiceId, ArrivalRate>& aArrivals,
         const Context& aContext);

} // namespace verbenawell::jobs
