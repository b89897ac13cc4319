#pragma once

#include "verbenawell/core/Time.h"
#include "verbenawell/fleet/FleetState.h"

#include <cstddef>
#include <vector>

namespace verbenawell {

/// VMs of a pool in the order in which a wave stops them: by zone, then by
/// rack, so that stops share the failure domain that may fail meanwhile.
std::vector<VmId>
OrderStops(const FleetState& aFleet, const WaveState& aWave);

/// Planned stops that the wave may begin now. The first one is the canary:
/// no other begins before it has finished.
std::size_t
StopsAllowed(const FleetState& aFleet, const WaveState& aWave, VmCount aSpares);

/// How close a wave takes a service to its availability budget.
struct BudgetMargin
{
  ServiceId service_;
  VmCount budget_;
  VmCount servingNow_;
  /// Fewest serving VMs while the wave runs.
  VmCount servingLeast_;
};

/// What a wave will cost.
struct WaveForecast
{
  std::size_t stops_ = 0;
  /// Most planned stops at once.
  std::size_t width_ = 0;
  std::size_t rounds_ = 0;
  /// Spare VMs that the pool borrows because its budgets leave no stop.
  std::size_t borrowed_ = 0;
  Duration duration_{};
  /// The service closest to its budget first.
  std::vector<BudgetMargin> margins_;
};

WaveForecast
ForecastWave(const FleetState& aFleet,
             const WaveState& aWave,
             VmCount aSpares,
             Duration aRebootTime);

} // namespace verbenawell
