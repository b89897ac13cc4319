#pragma once

#include "verbenawell/core/Time.h"
#include "verbenawell/fleet/FleetRecord.h"

#include <vector>

namespace verbenawell {

struct FleetState;

/// Waves that the maintenance schedule starts now: one per pool without a
/// running wave, over the VMs whose last maintenance is older than the setting
/// `maintenance-interval`.
std::vector<StartWave>
DueWaves(const FleetState& aFleet, WallTime aNow);

} // namespace verbenawell
