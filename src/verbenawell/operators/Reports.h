#pragma once

#include "verbenawell/operators/OperatorAnswer.h"

namespace verbenawell {

struct FleetState;

/// One row a pool: services, budgets and serving VMs.
Table
ReportPools(const FleetState& aFleet);

/// One row a VM: pool, location and state.
Table
ReportVms(const FleetState& aFleet);

/// One row a wave: progress and pauses.
Table
ReportWaves(const FleetState& aFleet);

} // namespace verbenawell
