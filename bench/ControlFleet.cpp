#include "ControlFleet.h"

#include "verbenawell/codec/RecordCodec.h"
#include "verbenawell/codec/VmListCodec.h"

#include <algorithm>
#include <condition_variable>
#include <mutex>
#include <stdexcept>
#include <string>
#include <vector>

#include <httplib.h>

namespace verbenawell::bench {

namespace {

using standins::LocalFleet;
using Clock = std::chrono::steady_clock;

constexpr double kMegabyte = 1e6;
constexpr double kKilobyte = 1e3;
constexpr double kPercent = 100;
constexpr std::size_t kTenths = 10;
constexpr std::chrono::minutes kWaitTimeout{ 1 };

double
Seconds(Clock::duration aTime)
{
  return std::chrono::duration<double>(aTime).count();
}

/// Appends records to the fleet stream in the log service, without a daemon.
class LogWriter
{
public:
  explicit LogWriter(const Endpoint& aLog)
    : client_(aLog.host_, aLog.port_)
  {
    client_.set_keep_alive(true);
    client_.set_tcp_nodelay(true);
  }

  void Append(const FleetChange& aChange)
  {
    FleetRecord record;
    record.id_ = RecordId{ "bench/" + std::to_string(++appended_) };
    record.at_ = std::chrono::time_point_cast<WallTime::duration>(
      std::chrono::system_clock::now());
    record.author_ = OperatorId{ "bench" };
    record.change_ = aChange;
    const auto result = client_.Post("/records?stream=fleet",
                                     EncodeRecord(record.id_, record),
                                     "application/octet-stream");
    if (!result || result->status != kOk) {
      throw std::runtime_error("the log service rejected a record");
    }
  }

  [[nodiscard]] std::size_t Appended() const { return appended_; }

private:
  static constexpr int kOk = 200;

  httplib::Client client_;
  std::size_t appended_ = 0;
};

/// Changes that define the fleet. The pools share nine tenths of the VMs, the
/// rest is spare. Each pool has one service, whose availability budget is three
/// quarters of the pool. Each team has one quota.
std::vector<FleetChange>
MakeFleetChanges(const LocalFleet& aFleet, const ControlShape& aShape)
{
  const auto name = [](const std::string& aKind, std::size_t aNumber) {
    return aKind + std::to_string(aNumber);
  };
  const auto vms =
    DecodeVmList(LocalFleet::Get(aFleet.Platform(), "/vms").value_or(""));
  const std::size_t perPool =
    vms.size() * (kTenths - 1) / kTenths / aShape.pools_;
  std::vector<FleetChange> changes{ DefinePool{ PoolId{ "spare" }, true } };
  for (const VmListing& vm : vms) {
    changes.emplace_back(VmSeen{ vm.facts_ });
  }
  for (std::size_t pool = 0; pool < aShape.pools_; ++pool) {
    const PoolId id{ name("p", pool) };
    changes.emplace_back(DefinePool{ id });
    for (std::size_t at = 0; at < perPool; ++at) {
      changes.emplace_back(
        MoveVm{ vms.at(pool * perPool + at).facts_.vm_, id });
    }
    changes.emplace_back(
      DefineService{ ServiceId{ name("s", pool) },
                     id,
                     VmCount{ static_cast<std::uint32_t>(perPool * 3 / 4) } });
  }
  for (std::size_t team = 0; team < aShape.teams_; ++team) {
    changes.emplace_back(SetQuota{ TeamId{ name("t", team) },
                                   ServiceId{ name("s", team % aShape.pools_) },
                                   ShareWeight{ 1 },
                                   SlotCount{} });
  }
  return changes;
}

template<typename Condition>
void
WaitForFleet(const std::string& aWhat, Condition aCondition)
{
  const auto end = Clock::now() + kWaitTimeout;
  while (!aCondition()) {
    if (Clock::now() >= end) {
      throw std::runtime_error("gave up waiting for " + aWhat);
    }
    Pause(std::chrono::milliseconds(200));
  }
}

/// CPU time and network traffic of a daemon since its process started.
struct Usage
{
  double cpuSeconds_ = 0;
  double trafficBytes_ = 0;
};

std::vector<Usage>
ReadUsage(LocalFleet& aFleet)
{
  std::vector<Usage> usage;
  for (std::size_t daemon = 0; daemon < aFleet.DaemonCount(); ++daemon) {
    usage.push_back(
      { Seconds(aFleet.Daemon(daemon).CpuTime()),
        aFleet.Metric(daemon, "verbenawell_control_bytes_total") });
  }
  return usage;
}

} // namespace

void
Pause(Clock::duration aTime)
{
  std::mutex mutex;
  std::unique_lock lock{ mutex };
  std::condition_variable().wait_for(lock, aTime);
}

void
DefineFleet(LocalFleet& aFleet, const ControlShape& aShape)
{
  LogWriter log{ aFleet.Log() };
  for (const FleetChange& change : MakeFleetChanges(aFleet, aShape)) {
    log.Append(change);
  }
  aFleet.WaitUntilReady();
  WaitForFleet("all daemons to apply the fleet records", [&] {
    for (std::size_t daemon = 0; daemon < aShape.daemons_; ++daemon) {
      if (aFleet.Metric(daemon, "verbenawell_fleet_offset") <
          static_cast<double>(log.Appended())) {
        return false;
      }
    }
    return true;
  });
}

namespace {

/// Waits for the first snapshot, which a daemon writes half a minute after the
/// start. Within the measured window it would count as steady cost.
void
WaitForSnapshot(const LocalFleet& aFleet)
{
  WaitForFleet("the first snapshot", [&] {
    double written = 0;
    for (std::size_t daemon = 0; daemon < aFleet.DaemonCount(); ++daemon) {
      written += aFleet.Metric(daemon, "verbenawell_snapshots_written_total");
    }
    return written > 0;
  });
}

} // namespace

ControlSample
MeasureControl(const std::filesystem::path& aBuild,
               const ControlShape& aShape,
               std::chrono::seconds aSettleTime,
               std::chrono::seconds aWindow)
{
  const auto started = Clock::now();
  LocalFleet fleet{ { aBuild, aShape.daemons_, aShape.vms_, 4, false } };
  DefineFleet(fleet, aShape);
  WaitForSnapshot(fleet);
  Pause(aSettleTime);
  const auto began = Clock::now();
  const std::vector<Usage> before = ReadUsage(fleet);
  Pause(aWindow);
  const double window = Seconds(Clock::now() - began);
  const std::vector<Usage> after = ReadUsage(fleet);
  const double beforeWindow = Seconds(began - started);
  const auto count = static_cast<double>(aShape.daemons_);
  ControlSample sample;
  for (std::size_t daemon = 0; daemon < aShape.daemons_; ++daemon) {
    const double cpu =
      (after[daemon].cpuSeconds_ - before[daemon].cpuSeconds_) / window;
    const double bytes =
      (after[daemon].trafficBytes_ - before[daemon].trafficBytes_) / window;
    sample.maxCpuPercent_ = std::max(sample.maxCpuPercent_, cpu * kPercent);
    sample.meanCpuPercent_ += cpu * kPercent / count;
    sample.maxTrafficKbPerSecond_ =
      std::max(sample.maxTrafficKbPerSecond_, bytes / kKilobyte);
    sample.meanTrafficKbPerSecond_ += bytes / kKilobyte / count;
    sample.maxResidentMb_ = std::max(
      sample.maxResidentMb_,
      static_cast<double>(fleet.Daemon(daemon).ResidentBytes()) / kMegabyte);
    sample.startCpuSeconds_ +=
      (before[daemon].cpuSeconds_ - cpu * beforeWindow) / count;
    sample.startTrafficKb_ +=
      (before[daemon].trafficBytes_ - bytes * beforeWindow) / kKilobyte / count;
  }
  return sample;
}

} // namespace verbenawell::bench
