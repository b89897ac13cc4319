#include "verbenawell/adapters/LogClient.h"
#include "verbenawell/log/Streams.h"

#include "LocalFleet.h"
#include "Row.h"

#include <algorithm>
#include <chrono>
#include <condition_variable>
#include <mutex>
#include <vector>

#include <gflags/gflags.h>
#include <nlohmann/json.hpp>

DEFINE_string(build, "build", "folder with the built programs");
DEFINE_uint64(seed, 1, "seed; the load itself is fixed");
DEFINE_uint64(changes, 40, "changes of configuration timed");

// What control costs a daemon by fleet size and by number of daemons, and how
// long a change of configuration takes to be in force at every daemon.

namespace {

using standins::LocalFleet;
using verbenawell::bench::Print;
using Clock = std::chrono::steady_clock;

constexpr std::chrono::seconds kWindow{ 6 };
constexpr std::size_t kLetterVms = 3500;
constexpr double kMegabyte = 1e6;
constexpr double kKilobyte = 1e3;
constexpr double kPercent = 100;

void
Pause(Clock::duration aTime)
{
  std::mutex mutex;
  std::unique_lock lock{ mutex };
  std::condition_variable().wait_for(lock, aTime);
}

/// Control of one daemon, without any request.
struct Sample
{
  double x_ = 0;
  double cpuPercent_ = 0;
  double megabytes_ = 0;
  double kilobytesPerSecond_ = 0;
};

void
DefineFleet(LocalFleet& aFleet, std::size_t aVms)
{
  aFleet.WaitUntilReady();
  aFleet.Change(0, "create pool spare spare");
  LocalFleet::WaitFor("the VMs", [&] {
    const auto answer =
      nlohmann::json::parse(aFleet.Command(0, "show fleet"), nullptr, false);
    if (!answer.is_object() || answer["tables"].empty()) {
      return false;
    }
    const auto& rows = answer["tables"][0]["rows"];
    return !rows.empty() && std::stoul(rows[0][2].get<std::string>()) >= aVms;
  });
}

Sample
Measure(std::size_t aVms, std::size_t aDaemons)
{
  LocalFleet fleet{ { FLAGS_build, aDaemons, aVms, 4, false } };
  DefineFleet(fleet, aVms);
  // The first reads of the list and their records are over.
  Pause(std::chrono::seconds(2));
  const std::size_t daemon = aDaemons - 1;
  const auto bytes = [&] {
    return fleet.Metric(daemon, "verbenawell_control_bytes_total");
  };
  const double bytesBefore = bytes();
  const auto cpuBefore = fleet.Daemon(daemon).CpuTime();
  Pause(kWindow);
  Sample sample;
  const double seconds = std::chrono::duration<double>(kWindow).count();
  sample.cpuPercent_ =
    std::chrono::duration<double>(fleet.Daemon(daemon).CpuTime() - cpuBefore)
      .count() /
    seconds * kPercent;
  sample.megabytes_ =
    static_cast<double>(fleet.Daemon(daemon).ResidentBytes()) / kMegabyte;
  sample.kilobytesPerSecond_ = (bytes() - bytesBefore) / seconds / kKilobyte;
  return sample;
}

/// Value at `aX` on the line of least squares through the samples.
double
Extrapolate(const std::vector<Sample>& aSamples,
            double Sample::*aField,
            double aX)
{
  double sumX = 0;
  double sumY = 0;
  double sumXX = 0;
  double sumXY = 0;
  const auto count = static_cast<double>(aSamples.size());
  for (const Sample& sample : aSamples) {
    sumX += sample.x_;
    sumY += sample.*aField;
    sumXX += sample.x_ * sample.x_;
    sumXY += sample.x_ * sample.*aField;
  }
  const double slope =
    (count * sumXY - sumX * sumY) / (count * sumXX - sumX * sumX);
  return sumY / count + slope * (aX - sumX / count);
}

void
PrintSample(const std::string& aBy, const Sample& aSample)
{
  const std::string suffix =
    aBy + "/" + std::to_string(static_cast<int>(aSample.x_));
  Print({ "control_cpu/" + suffix,
          aSample.cpuPercent_,
          "% of a core",
          0.0,
          1.2,
          FLAGS_seed,
          1 });
  Print({ "control_rss/" + suffix,
          aSample.megabytes_,
          "MB",
          0.0,
          128.0,
          FLAGS_seed,
          1 });
  Print({ "control_bytes/" + suffix,
          aSample.kilobytesPerSecond_,
          "KB/s",
          0.0,
          9.0,
          FLAGS_seed,
          1 });
}

void
MeasureByVms()
{
  std::vector<Sample> samples;
  for (const std::size_t vms : { 50U, 200U, 500U, 1000U, 2000U }) {
    Sample sample = Measure(vms, 3);
    sample.x_ = static_cast<double>(vms);
    PrintSample("vms", sample);
    samples.push_back(sample);
  }
  const double size = kLetterVms;
  const Sample letter{ size,
                       Extrapolate(samples, &Sample::cpuPercent_, size),
                       Extrapolate(samples, &Sample::megabytes_, size),
                       Extrapolate(
                         samples, &Sample::kilobytesPerSecond_, size) };
  PrintSample("vms-extrapolated", letter);
}

void
MeasureByDaemons()
{
  for (const std::size_t daemons : { 3U, 6U, 9U, 18U, 36U }) {
    Sample sample = Measure(50, daemons);
    sample.x_ = static_cast<double>(daemons);
    PrintSample("daemons", sample);
  }
}

std::uint64_t
OffsetOf(const std::string& aAnswer)
{
  const auto answer = nlohmann::json::parse(aAnswer, nullptr, false);
  const std::string message =
    answer.is_object() ? answer.value("message", "") : "";
  const std::string marker = "offset ";
  const auto at = message.find(marker);
  return at == std::string::npos
           ? 0
           : std::stoull(message.substr(at + marker.size()));
}

/// Offset in force at the daemon itself.
std::uint64_t
OffsetInForce(const LocalFleet& aFleet, std::size_t aDaemon)
{
  return static_cast<std::uint64_t>(
    aFleet.Metric(aDaemon, "verbenawell_fleet_offset"));
}

double
TimeChange(const LocalFleet& aFleet, std::size_t aNumber)
{
  const std::size_t author = aNumber % aFleet.DaemonCount();
  const auto began = Clock::now();
  const std::string answer = aFleet.Command(
    author, "set reboot-limit to " + std::to_string(600 + aNumber));
  const std::uint64_t offset = OffsetOf(answer);
  if (offset == 0) {
    return 0;
  }
  LocalFleet::WaitFor("the change at every daemon", [&] {
    for (std::size_t daemon = 0; daemon < aFleet.DaemonCount(); ++daemon) {
      if (OffsetInForce(aFleet, daemon) < offset) {
        return false;
      }
    }
    return true;
  });
  return std::chrono::duration<double>(Clock::now() - began).count();
}

double
Percentile99(std::vector<double> aTimes)
{
  std::ranges::sort(aTimes);
  return aTimes.at((aTimes.size() - 1) * 99 / 100);
}

/// The same appends seen by a reader that polls each second, and by nothing
/// else: the mean wait of a poll, and the slow log's answer.
double
TimePolling(const LocalFleet& aFleet, std::size_t aNumber)
{
  const auto began = Clock::now();
  const std::uint64_t offset = OffsetOf(
    aFleet.Command(0, "set reboot-limit to " + std::to_string(900 + aNumber)));
  // Polls are not aligned with changes: the phase moves with the number.
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
  constexpr std::size_t kDaemons = 6;
  LocalFleet fleet{ { FLAGS_build, kDaemons, 50, 4, false } };
  DefineFleet(fleet, 50);
  LocalFleet::Post(fleet.Log(), "/faults?delayMs=150");
  std::vector<double> times;
  std::vector<double> polled;
  for (std::size_t number = 0; number < FLAGS_changes; ++number) {
    if (number == FLAGS_changes / 2) {
      // An entry VM is replaced in the middle.
      fleet.StartDaemon(kDaemons - 1);
      fleet.WaitUntilReady();
    }
    times.push_back(TimeChange(fleet, number));
    polled.push_back(TimePolling(fleet, number));
  }
  Print({ "config_everywhere_p99",
          Percentile99(times),
          "s",
          Percentile99(polled),
          4.0,
          FLAGS_seed,
          times.size() });
}

} // namespace

int
main(int aCount, char** aArguments)
{
  gflags::ParseCommandLineFlags(&aCount, &aArguments, true);
  try {
    MeasureConfiguration();
    MeasureByVms();
    MeasureByDaemons();
  } catch (const std::exception& error) {
    std::cerr << "control_bench: " << error.what() << '\n';
    return 1;
  }
}
