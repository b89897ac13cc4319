#include "ControlFleet.h"
#include "Row.h"

#include <algorithm>
#include <chrono>
#include <sstream>
#include <stdexcept>
#include <string>
#include <vector>

#include <gflags/gflags.h>
#include <nlohmann/json.hpp>

DEFINE_string(build, "build", "folder with the built programs");
DEFINE_uint64(seed,
              1,
              "seed printed with each measure; the load does not depend on it");
DEFINE_uint64(changes, 40, "number of configuration changes to time");
DEFINE_uint64(config_daemons,
              6,
              "daemons of the fleet in which changes are timed");
DEFINE_string(vms, "50,500,1000,2000,3500", "fleet sizes in VMs");
DEFINE_uint64(vms_daemons, 3, "daemons of each fleet of --vms");
DEFINE_string(daemons, "3,6,9,18,36,100", "daemon counts at 50 VMs");
DEFINE_uint64(settle,
              5,
              "seconds from the first snapshot to the measured window");
DEFINE_uint64(window, 20, "seconds over which the cost of control is measured");

// Measures the cost of control: the CPU time, memory and network traffic that a
// daemon without requests uses, by fleet size and by number of daemons. Also
// measures the time until every daemon has applied a change of configuration.

namespace {

using standins::LocalFleet;
using verbenawell::bench::ControlSample;
using verbenawell::bench::ControlShape;
using verbenawell::bench::DefineFleet;
using verbenawell::bench::Pause;
using verbenawell::bench::Print;
using verbenawell::bench::PrintSeries;
using Clock = std::chrono::steady_clock;

constexpr double kCpuBoundPercent = 1.2;
constexpr double kMemoryBoundMb = 128;
constexpr double kTrafficBoundKbPerSecond = 9;
constexpr double kConfigurationBoundSeconds = 4;
/// The design target: from this fleet size on, a fleet has the pools and teams
/// below. Smaller fleets have the defaults of `ControlShape`.
constexpr std::size_t kDesignTargetVms = 3500;
constexpr std::size_t kDesignTargetPools = 36;
constexpr std::size_t kDesignTargetTeams = 340;

ControlShape
MakeControlShape(std::size_t aVms, std::size_t aDaemons)
{
  ControlShape shape;
  shape.vms_ = aVms;
  shape.daemons_ = aDaemons;
  if (aVms >= kDesignTargetVms) {
    shape.pools_ = kDesignTargetPools;
    shape.teams_ = kDesignTargetTeams;
  }
  return shape;
}

std::vector<std::size_t>
ParseSizes(const std::string& aText)
{
  std::vector<std::size_t> sizes;
  std::istringstream words{ aText };
  for (std::string word; std::getline(words, word, ',');) {
    sizes.push_back(std::stoul(word));
  }
  return sizes;
}

ControlSample
Measure(const ControlShape& aShape)
{
  return verbenawell::bench::MeasureControl(FLAGS_build,
                                            aShape,
                                            std::chrono::seconds(FLAGS_settle),
                                            std::chrono::seconds(FLAGS_window));
}

void
PrintSample(const std::string& aSuffix,
            const ControlShape& aShape,
            const ControlSample& aSample)
{
  const auto row = [&](const std::string& aName,
                       double aValue,
                       const std::string& aUnit,
                       std::optional<double> aBound) {
    Print({ aName + "/" + aSuffix,
            aValue,
            aUnit,
            0.0,
            aBound,
            FLAGS_seed,
            aShape.daemons_ });
  };
  row("control_cpu", aSample.maxCpuPercent_, "% of a core", kCpuBoundPercent);
  row("control_cpu_mean",
      aSample.meanCpuPercent_,
      "% of a core",
      kCpuBoundPercent);
  row("control_rss", aSample.maxResidentMb_, "MB", kMemoryBoundMb);
  row("control_bytes",
      aSample.maxTrafficKbPerSecond_,
      "KB/s",
      kTrafficBoundKbPerSecond);
  row("control_bytes_mean",
      aSample.meanTrafficKbPerSecond_,
      "KB/s",
      kTrafficBoundKbPerSecond);
  row("control_start_cpu", aSample.startCpuSeconds_, "s", {});
  row("control_start_bytes", aSample.startTrafficKb_, "KB", {});
}

/// Measures each shape and prints the mean CPU time and traffic of a daemon as
/// curves over the size.
template<typename Shapes, typename SizeOf>
void
MeasureSeries(const std::string& aBy, const Shapes& aShapes, SizeOf aSizeOf)
{
  std::vector<std::pair<double, double>> cpu;
  std::vector<std::pair<double, double>> bytes;
  for (const ControlShape& shape : aShapes) {
    const ControlSample sample = Measure(shape);
    const std::size_t size = aSizeOf(shape);
    PrintSample(aBy + "/" + std::to_string(size), shape, sample);
    cpu.emplace_back(static_cast<double>(size), sample.meanCpuPercent_);
    bytes.emplace_back(static_cast<double>(size),
                       sample.meanTrafficKbPerSecond_);
  }
  PrintSeries({ "control_cpu by " + aBy, "mean", "% of a core", aBy, cpu });
  PrintSeries({ "control_bytes by " + aBy, "mean", "KB/s", aBy, bytes });
}

void
MeasureByVms()
{
  std::vector<ControlShape> shapes;
  for (const std::size_t vms : ParseSizes(FLAGS_vms)) {
    shapes.push_back(MakeControlShape(vms, FLAGS_vms_daemons));
  }
  MeasureSeries(
    "vms", shapes, [](const ControlShape& aShape) { return aShape.vms_; });
}

void
MeasureByDaemons()
{
  std::vector<ControlShape> shapes;
  for (const std::size_t daemons : ParseSizes(FLAGS_daemons)) {
    shapes.push_back(MakeControlShape(50, daemons));
  }
  MeasureSeries("daemons", shapes, [](const ControlShape& aShape) {
    return aShape.daemons_;
  });
}

std::uint64_t
ParseOffset(const std::string& aResponse)
{
  const auto response = nlohmann::json::parse(aResponse, nullptr, false);
  const std::string message =
    response.is_object() ? response.value("message", "") : "";
  const std::string marker = "offset ";
  const auto at = message.find(marker);
  return at == std::string::npos
           ? 0
           : std::stoull(message.substr(at + marker.size()));
}

/// Offset of the last fleet record that the daemon has applied.
std::uint64_t
AppliedOffset(const LocalFleet& aFleet, std::size_t aDaemon)
{
  return static_cast<std::uint64_t>(
    aFleet.Metric(aDaemon, "verbenawell_fleet_offset"));
}

/// Seconds until each daemon has applied the change, in ascending order.
std::vector<double>
TimeChange(const LocalFleet& aFleet, std::size_t aNumber)
{
  const std::size_t author = aNumber % aFleet.DaemonCount();
  const auto began = Clock::now();
  const std::string response = aFleet.Command(
    author, "set reboot-limit to " + std::to_string(600 + aNumber));
  const std::uint64_t offset = ParseOffset(response);
  if (offset == 0) {
    throw std::runtime_error("a change was not accepted: " + response);
  }
  std::vector<bool> reached(aFleet.DaemonCount());
  std::vector<double> times;
  LocalFleet::WaitFor("the change at every daemon", [&] {
    for (std::size_t daemon = 0; daemon < reached.size(); ++daemon) {
      if (!reached[daemon] && AppliedOffset(aFleet, daemon) >= offset) {
        reached[daemon] = true;
        times.push_back(
          std::chrono::duration<double>(Clock::now() - began).count());
      }
    }
    return times.size() == reached.size();
  });
  return times;
}

double
Percentile99(std::vector<double> aTimes)
{
  std::ranges::sort(aTimes);
  return aTimes.at((aTimes.size() - 1) * 99 / 100);
}

/// The baseline: seconds until a reader that polls the log service once a
/// second sees the change. They consist of the wait for the next poll and the
/// delayed response of the log service.
double
TimePolling(const LocalFleet& aFleet, std::size_t aNumber)
{
  const auto began = Clock::now();
  const std::uint64_t offset = ParseOffset(
    aFleet.Command(0, "set reboot-limit to " + std::to_string(900 + aNumber)));
  // Spreads the wait for the next poll evenly over one second.
  const auto phase = std::chrono::milliseconds(1000 * aNumber / FLAGS_changes);
  Pause(phase);
  const std::string path =
    "/records?stream=fleet&from=" + std::to_string(offset);
  LocalFleet::WaitFor("the poll", [&] {
    return LocalFleet::Get(aFleet.Log(), path).has_value();
  });
  return std::chrono::duration<double>(Clock::now() - began).count();
}

void
MeasureConfiguration()
{
  const std::size_t daemons = FLAGS_config_daemons;
  LocalFleet fleet{ { FLAGS_build, daemons, 50, 4, false } };
  DefineFleet(fleet, MakeControlShape(50, daemons));
  LocalFleet::Post(fleet.Log(), "/faults?delayMs=150");
  std::vector<double> timesToAll;
  std::vector<double> pollingTimes;
  std::vector<std::pair<double, double>> meanTimes;
  for (std::size_t daemon = 1; daemon <= daemons; ++daemon) {
    meanTimes.emplace_back(static_cast<double>(daemon), 0.0);
  }
  for (std::size_t number = 0; number < FLAGS_changes; ++number) {
    if (number == FLAGS_changes / 2) {
      // Replaces an entry VM halfway through the changes.
      fleet.StartDaemon(daemons - 1);
      fleet.WaitUntilReady();
    }
    const std::vector<double> times = TimeChange(fleet, number);
    for (std::size_t daemon = 0; daemon < daemons; ++daemon) {
      meanTimes[daemon].second +=
        times[daemon] / static_cast<double>(FLAGS_changes);
    }
    timesToAll.push_back(times.back());
    pollingTimes.push_back(TimePolling(fleet, number));
  }
  Print({ "config_everywhere_p99/" + std::to_string(daemons),
          Percentile99(timesToAll),
          "s",
          Percentile99(pollingTimes),
          kConfigurationBoundSeconds,
          FLAGS_seed,
          timesToAll.size() });
  PrintSeries({ "configuration in force, mean time by number of daemons",
                std::to_string(daemons) + " daemons",
                "s",
                "daemons",
                meanTimes });
}

} // namespace

int
main(int aCount, char** aArguments)
{
  gflags::ParseCommandLineFlags(&aCount, &aArguments, true);
  try {
    if (FLAGS_changes > 0) {
      MeasureConfiguration();
    }
    MeasureByVms();
    MeasureByDaemons();
  } catch (const std::exception& error) {
    std::cerr << "control_bench: " << error.what() << '\n';
    return 1;
  }
}
