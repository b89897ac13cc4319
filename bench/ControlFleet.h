#pragma once

#include "LocalFleet.h"

#include <chrono>
#include <cstddef>
#include <filesystem>

namespace verbenawell::bench {

struct ControlShape
{
  std::size_t vms_ = 50;
  std::size_t pools_ = 5;
  std::size_t daemons_ = 3;
  std::size_t teams_ = 20;
};

/// What control costs the daemons of one fleet that serves no request.
struct ControlSample
{
  /// Percent of a core: the daemon that costs most, and the mean of all.
  double cpuWorst_ = 0;
  double cpuMean_ = 0;
  double megabytesWorst_ = 0;
  /// Bytes sent and received in KB/s.
  double kilobytesWorst_ = 0;
  double kilobytesMean_ = 0;
  /// Beyond the steady cost, from the start of the processes until the
  /// measured window: processor seconds and KB of a daemon, mean of all.
  double startSeconds_ = 0;
  double startKilobytes_ = 0;
};

/// Blocks the caller without using the processor.
void
Pause(std::chrono::steady_clock::duration aTime);

/// Writes the whole fleet into the log and waits until it is in force at every
/// daemon.
void
DefineFleet(standins::LocalFleet& aFleet, const ControlShape& aShape);

/// Starts the fleet, waits until the news of the start has died down and
/// measures all daemons over the window.
ControlSample
MeasureControl(const std::filesystem::path& aBuild,
               const ControlShape& aShape,
               std::chrono::seconds aSettle,
               std::chrono::seconds aWindow);

} // namespace verbenawell::bench
