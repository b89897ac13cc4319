#pragma once

#include "verbenawell/core/Time.h"
#include "verbenawell/fleet/FleetState.h"

#include <cstddef>
#include <vector>

namespace verbenawell {

/// VMs that the wave has still to stop, in order: by zone, then by rack.
/// VMs that are stopped at the same time are thus mostly in the same rack or
/// zone. If it fails meanwhile, fewer further VMs are lost.
std::vector<VmId>
OrderStops(const FleetState& aFleet, const WaveState& aWave);

/// Number of planned stops that the wave may start now. The first stop is the
/// canary: no other starts before it has finished.
std::size_t
StopsAllowed(const FleetState& aFleet, const WaveState& aWave, VmCount aSpares);

/// Serving VMs of a service during a wave, compared with its budget.
struct BudgetMargin
{
  ServiceId service_;
  VmCount budget_;
  VmCount currentServing_;
  /// Minimum number of serving VMs while the wave runs.
  VmCount minServing_;
};

/// Expected course of a wave.
struct WaveForecast
{
  std::size_t stops_ = 0;
  /// Maximum number of planned stops at once.
  std::size_t width_ = 0;
  /// Groups of concurrent stops, one after the other; the canary is the first.
  std::size_t rounds_ = 0;
  /// Spare VMs that the pool borrows because its budgets allow no stop without
  /// them.
  std::size_t borrowed_ = 0;
  Duration duration_{};
  /// Margins of the pool's services, the one closest to its budget first.
  std::vector<BudgetMargin> margins_;
};

WaveForecast
ForecastWave(const FleetState& aFleet,
             const WaveState& aWave,
             VmCount aSpares,
             Duration aRebootTime);

} // namespace verbenawell
