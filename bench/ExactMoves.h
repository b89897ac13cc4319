#pragma once

#include "verbenawell/fleet/FleetState.h"

#include <cstddef>

namespace verbenawell::bench {

/// Number of VMs that the pools lack to meet their budgets: a lower bound for
/// the number of moves.
std::size_t
VmShortfall(const FleetState& aFleet);

/// Smallest number of moves after which every pool meets its budget; 0 if no
/// moves achieve that. Searches breadth-first over all moves of serving VMs,
/// so it suits small fleets only.
std::size_t
SearchMinMoves(const FleetState& aFleet);

} // namespace verbenawell::bench
