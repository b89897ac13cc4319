#pragma once

#include "verbenawell/fleet/FleetState.h"

#include <cstddef>

namespace verbenawell::bench {

/// VMs that the pools miss below their budgets: a lower bound of the moves.
std::size_t
MissingVms(const FleetState& aFleet);

/// Least moves after which every pool holds its budget, found by searching
/// breadth first through all moves of serving VMs; for small fleets only.
std::size_t
SearchLeastMoves(const FleetState& aFleet);

} // namespace verbenawell::bench
