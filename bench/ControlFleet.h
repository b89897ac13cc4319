#pragma once

#include "LocalFleet.h"

#include <chrono>
#include <cstddef>
#include <filesystem>

namespace verbenawell::bench {

/// Size of a fleet.
struct ControlShape
{
  std::size_t vms_ = 50;
  std::size_t pools_ = 5;
  std::size_t daemons_ = 3;
  std::size_t teams_ = 20;
};

/// Resources that the daemons of one fleet use without any requests.
struct ControlSample
{
  /// CPU time in percent of a core: largest value of any daemon, and mean.
  double maxCpuPercent_ = 0;
  double meanCpuPercent_ = 0;
  /// Largest resident memory of any daemon in MB.
  double maxResidentMb_ = 0;
  /// Traffic sent and received in KB/s: largest value of any daemon, and mean.
  double maxTrafficKbPerSecond_ = 0;
  double meanTrafficKbPerSecond_ = 0;
  /// Cost of the start: CPU seconds and KB of traffic from the start of the
  /// processes to the measured window, less the steady cost; mean per daemon.
  double startCpuSeconds_ = 0;
  double startTrafficKb_ = 0;
};

/// Blocks the calling thread without using CPU time.
void
Pause(std::chrono::steady_clock::duration aTime);

/// Appends the records of the whole fleet to the log and waits until every
/// daemon has applied them. Throws `std::runtime_error` after one minute.
void
DefineFleet(standins::LocalFleet& aFleet, const ControlShape& aShape);

/// Starts the fleet, waits for the first snapshot and then for `aSettleTime`,
/// so that the traffic of the start is over, and measures all daemons over
/// `aWindow`.
ControlSample
MeasureControl(const std::filesystem::path& aBuild,
               const ControlShape& aShape,
               std::chrono::seconds aSettleTime,
               std::chrono::seconds aWindow);

} // namespace verbenawell::bench
