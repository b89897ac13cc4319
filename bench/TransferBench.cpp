#include "ControlFleet.h"
#include "Row.h"

#include <algorithm>
#include <chrono>
#include <iostream>
#include <sstream>
#include <string>
#include <vector>

#include <gflags/gflags.h>

DEFINE_string(build, "build", "folder with the built programs");
DEFINE_uint64(seed,
              1,
              "seed printed with each measure; the load does not depend on it");
DEFINE_uint64(repeats, 5, "times that a daemon is replaced in each fleet");
DEFINE_string(vms, "50,500,1000,2000,3500", "fleet sizes in VMs");

// Measures how long a daemon that restarts without any state takes until it is
// ready with the whole fleet state: read from the log service, and from its
// peers while the log service is down.

namespace {

using standins::LocalFleet;
using verbenawell::bench::ControlShape;
using verbenawell::bench::Print;
using Clock = std::chrono::steady_clock;

constexpr double kReadyBoundSeconds = 2;
/// The bound holds for fleets up to the size of a current deployment.
constexpr std::size_t kMaxVmsWithBound = 50;

double
AppliedOffset(const LocalFleet& aFleet, std::size_t aDaemon)
{
  return aFleet.Metric(aDaemon, "verbenawell_fleet_offset");
}

/// Seconds from the start of the new process until it is ready and has applied
/// all records that daemon 0 had applied at that start.
double
TimeReplacement(LocalFleet& aFleet, std::size_t aDaemon)
{
  const double offset = AppliedOffset(aFleet, 0);
  const auto began = Clock::now();
  aFleet.StartDaemon(aDaemon);
  LocalFleet::WaitFor("the new daemon", [&] {
    return LocalFleet::Get(aFleet.Operators(aDaemon), "/readyz").has_value() &&
           AppliedOffset(aFleet, aDaemon) >= offset;
  });
  return std::chrono::duration<double>(Clock::now() - began).count();
}

void
MeasureReplacements(LocalFleet& aFleet,
                    const std::string& aName,
                    std::size_t aVms)
{
  std::vector<double> times;
  for (std::size_t repeat = 0; repeat < FLAGS_repeats; ++repeat) {
    times.push_back(TimeReplacement(aFleet, aFleet.DaemonCount() - 1));
    // Lets the other daemons see the new one as a member before it is replaced
    // again.
    verbenawell::bench::Pause(std::chrono::seconds(2));
  }
  std::ranges::sort(times);
  const auto row = [&](const std::string& aKind, double aValue) {
    Print(
      { "state_transfer_" + aKind + "/" + aName + "/" + std::to_string(aVms),
        aValue,
        "s",
        0.0,
        aVms <= kMaxVmsWithBound ? std::optional{ kReadyBoundSeconds }
                                 : std::nullopt,
        FLAGS_seed,
        times.size() });
  };
  row("median", times[times.size() / 2]);
  row("worst", times.back());
}

void
Measure(std::size_t aVms)
{
  ControlShape shape;
  shape.vms_ = aVms;
  LocalFleet fleet{ { FLAGS_build, shape.daemons_, aVms, 4, false } };
  verbenawell::bench::DefineFleet(fleet, shape);
  MeasureReplacements(fleet, "from-log", aVms);
  LocalFleet::Post(fleet.Log(), "/faults?down=1");
  MeasureReplacements(fleet, "from-peers", aVms);
}

} // namespace

int
main(int aCount, char** aArguments)
{
  gflags::ParseCommandLineFlags(&aCount, &aArguments, true);
  try {
    std::istringstream sizes{ FLAGS_vms };
    for (std::string size; std::getline(sizes, size, ',');) {
      Measure(std::stoul(size));
    }
  } catch (const std::exception& error) {
    std::cerr << "transfer_bench: " << error.what() << '\n';
    return 1;
  }
}
