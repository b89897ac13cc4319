#include "verbenawell/codec/SnapshotCodec.h"
#include "verbenawell/log/Snapshot.h"

#include "PlannerFleet.h"
#include "Row.h"

#include <algorithm>
#include <ctime>
#include <fstream>
#include <iostream>
#include <optional>
#include <string>
#include <vector>

#include <gflags/gflags.h>
#include <malloc.h>

DEFINE_uint64(seed,
              1,
              "seed printed with each measure; the fleets do not depend on it");

// Measures the size of a snapshot and the time and memory to encode and decode
// it, by number of VMs.

namespace {

using namespace verbenawell;
using namespace verbenawell::bench;

constexpr double kMegabyte = 1e6;
constexpr double kMemoryBoundMb = 128;
constexpr int kRepeats = 9;

std::uint64_t
ReadStatusKb(const std::string& aField)
{
  std::ifstream status{ "/proc/self/status" };
  for (std::string word; status >> word;) {
    if (word == aField) {
      std::uint64_t kilobytes = 0;
      status >> kilobytes;
      return kilobytes;
    }
  }
  return 0;
}

/// Peak resident memory of the process during a call, less that before it, in
/// MB.
template<typename Call>
double
MeasurePeakMb(Call aCall)
{
  malloc_trim(0);
  // Writing 5 resets VmHWM, the peak of resident memory.
  std::ofstream{ "/proc/self/clear_refs" } << "5" << std::flush;
  const std::uint64_t before = ReadStatusKb("VmRSS:");
  aCall();
  const std::uint64_t peak = ReadStatusKb("VmHWM:");
  constexpr double kBytesPerKb = 1024;
  return static_cast<double>(peak - std::min(peak, before)) * kBytesPerKb /
         kMegabyte;
}

/// Median CPU time of a call in milliseconds.
template<typename Call>
double
MeasureMedianMs(Call aCall)
{
  constexpr double kMsPerSecond = 1000;
  std::vector<double> times;
  for (int repeat = 0; repeat < kRepeats; ++repeat) {
    const std::clock_t began = std::clock();
    aCall();
    times.push_back(static_cast<double>(std::clock() - began) * kMsPerSecond /
                    CLOCKS_PER_SEC);
  }
  std::ranges::sort(times);
  return times[times.size() / 2];
}

void
Measure(int aVms, int aPools, int aZones)
{
  SimulatedFleet fleet{ MakeFleetShape(aVms, aPools, aZones) };
  std::string bytes;
  std::optional<FleetState> decoded;
  const double encodePeak =
    MeasurePeakMb([&] { bytes = EncodeFleet(fleet.Fleet()); });
  const double decodePeak =
    MeasurePeakMb([&] { decoded = DecodeFleet(bytes); });
  const double encode =
    MeasureMedianMs([&] { bytes = EncodeFleet(fleet.Fleet()); });
  const double decode = MeasureMedianMs([&] { decoded = DecodeFleet(bytes); });
  // The core's thread copies the state; another thread encodes the copy.
  const double copy = MeasureMedianMs([&] { decoded = fleet.Fleet(); });
  const auto row = [&](const std::string& aName,
                       double aValue,
                       const std::string& aUnit,
                       std::optional<double> aBound) {
    Print({ "snapshot_" + aName + "/" + std::to_string(aVms),
            aValue,
            aUnit,
            0.0,
            aBound,
            FLAGS_seed,
            kRepeats });
  };
  row("size", static_cast<double>(bytes.size()) / kMegabyte, "MB", {});
  row("chunks",
      static_cast<double>(
        SplitSnapshot(Offset{ 1 }, bytes, DaemonId{ "e" }, WallTime{}).size()),
      "records",
      {});
  row("encode", encode, "ms", {});
  row("decode", decode, "ms", {});
  row("copy", copy, "ms", {});
  row("encode_peak", encodePeak, "MB", kMemoryBoundMb);
  row("decode_peak", decodePeak, "MB", kMemoryBoundMb);
}

} // namespace

int
main(int aCount, char** aArguments)
{
  gflags::ParseCommandLineFlags(&aCount, &aArguments, true);
  Measure(50, 5, 4);
  Measure(500, 10, 8);
  Measure(1000, 12, 8);
  Measure(2000, 20, 16);
  Measure(3500, 36, 16);
  return 0;
}
