#pragma once

#include "verbenawell/core/Time.h"
#include "verbenawell/fleet/FleetRecord.h"

#include <vector>

namespace verbenawell {

struct FleetState;

/// Waves that the standing schedule starts now: one a pool, over the VMs whose
/// last maintenance is older than the setting `maintenance-interval`.
std::vector<StartWave>
DueWaves(const FleetState& aFleet, WallTime aNow);

} // namespace verbenawell
