#include "verbenawell/codec/VmListCodec.h"

#include "LocalFleet.h"
#include "Row.h"

#include <algorithm>
#include <chrono>
#include <condition_variable>
#include <csignal>
#include <filesystem>
#include <functional>
#include <mutex>
#include <thread>
#include <vector>

#include <gflags/gflags.h>
#include <httplib.h>

DEFINE_string(build, "build", "folder with the built programs");
DEFINE_uint64(seed,
              1,
              "seed printed with each measure; the load does not depend on it");
DEFINE_uint64(requests, 4000, "requests in each run of a latency measurement");

// Measures the latency and CPU time that a daemon adds to a request, compared
// with a pass-through proxy built on the same HTTP library, and the memory and
// CPU time that 640 waiting requests take.

namespace {

using standins::ChildProcess;
using standins::LocalFleet;
using verbenawell::Endpoint;
using verbenawell::bench::Print;
using Clock = std::chrono::steady_clock;

constexpr std::size_t kCallers = 4;
constexpr std::size_t kWaitingRequests = 640;

httplib::Headers
MakeHeaders(const std::string& aId, const std::string& aRunMs)
{
  return { { "Verbenawell-Service", "web" },
           { "Verbenawell-Request-Id", aId },
           { "Verbenawell-Idempotent", "true" },
           { "Verbenawell-Deadline-Ms", "60000" },
           { "Verbenawell-Run-Ms", aRunMs },
           { "Standin-Run-Ms", aRunMs } };
}

/// Median latency in milliseconds over callers that each send one request at a
/// time.
double
MeasureMedianMs(const Endpoint& aServer)
{
  std::vector<std::vector<double>> latencies(kCallers);
  std::vector<std::thread> threads;
  for (std::size_t caller = 0; caller < kCallers; ++caller) {
    threads.emplace_back([&, caller] {
      httplib::Client client{ aServer.host_, aServer.port_ };
      client.set_keep_alive(true);
      client.set_tcp_nodelay(true);
      for (std::size_t at = 0; at < FLAGS_requests / kCallers; ++at) {
        const auto began = Clock::now();
        const std::string id =
          std::to_string(caller) + "-" + std::to_string(at);
        if (const auto result =
              client.Post("/", MakeHeaders(id, "0"), "x", "text/plain");
            result && result->status == 200) {
          latencies[caller].push_back(
            std::chrono::duration<double, std::milli>(Clock::now() - began)
              .count());
        }
      }
    });
  }
  for (std::thread& thread : threads) {
    thread.join();
  }
  std::vector<double> all;
  for (const auto& part : latencies) {
    all.insert(all.end(), part.begin(), part.end());
  }
  if (all.size() < FLAGS_requests / 2) {
    throw std::runtime_error("more than half of the requests failed");
  }
  std::ranges::nth_element(all, all.begin() + std::ssize(all) / 2);
  return all[all.size() / 2];
}

/// Median latency of a request through a process, and the CPU time of that
/// process per request.
struct HopCost
{
  double latencyMs_ = 0;
  double cpuPerRequestUs_ = 0;
};

HopCost
MeasureHop(const Endpoint& aServer, const ChildProcess& aProcess)
{
  MeasureMedianMs(aServer);
  const auto before = aProcess.CpuTime();
  HopCost hop;
  hop.latencyMs_ = MeasureMedianMs(aServer);
  constexpr double kUsPerMs = 1000;
  hop.cpuPerRequestUs_ =
    static_cast<double>((aProcess.CpuTime() - before).count()) * kUsPerMs /
    static_cast<double>(FLAGS_requests);
  return hop;
}

void
MeasureHops(LocalFleet& aFleet)
{
  const std::filesystem::path build{ FLAGS_build };
  const Endpoint worker =
    verbenawell::DecodeVmList(
      LocalFleet::Get(aFleet.Platform(), "/vms").value_or(""))
      .at(0)
      .facts_.address_;
  const Endpoint passThroughAddress{
    "127.0.0.1", static_cast<std::uint16_t>(aFleet.Log().port_ + 9)
  };
  const ChildProcess passThrough{
    { (build / "bench/pass_through").string(),
      "--port=" + std::to_string(passThroughAddress.port_),
      "--target_port=" + std::to_string(worker.port_) },
    "/dev/null"
  };
  LocalFleet::WaitFor("the pass-through", [&] {
    return LocalFleet::Get(passThroughAddress, "/").has_value();
  });
  const double directMs = MeasureMedianMs(worker);
  const HopCost passThroughCost = MeasureHop(passThroughAddress, passThrough);
  const HopCost daemonCost = MeasureHop(aFleet.Callers(0), aFleet.Daemon(0));
  Print({ "hop_overhead/latency",
          daemonCost.latencyMs_ - directMs,
          "ms",
          passThroughCost.latencyMs_ - directMs,
          {},
          FLAGS_seed,
          FLAGS_requests });
  Print({ "hop_overhead/cpu",
          daemonCost.cpuPerRequestUs_,
          "us a request",
          passThroughCost.cpuPerRequestUs_,
          {},
          FLAGS_seed,
          FLAGS_requests });
}

/// Measures memory and CPU time of a daemon while requests wait for a slot.
void
MeasureWaiting(LocalFleet& aFleet)
{
  const Endpoint server = aFleet.Callers(0);
  const ChildProcess& daemon = aFleet.Daemon(0);
  const double idleBytes = static_cast<double>(daemon.ResidentBytes());
  std::vector<std::unique_ptr<httplib::Client>> clients;
  std::vector<std::thread> threads;
  for (std::size_t number = 0; number < kWaitingRequests; ++number) {
    clients.push_back(
      std::make_unique<httplib::Client>(server.host_, server.port_));
    clients.back()->set_read_timeout(std::chrono::seconds(60));
    threads.emplace_back([&client = *clients.back(), number] {
      client.Post("/",
                  MakeHeaders("w" + std::to_string(number), "20000"),
                  "x",
                  "text/plain");
    });
  }
  LocalFleet::WaitFor("the waiting requests", [&] {
    return aFleet.Metric(0, "verbenawell_requests_received_total") >=
           static_cast<double>(FLAGS_requests * 2 + kWaitingRequests);
  });
  constexpr std::chrono::seconds kWindow{ 5 };
  const auto before = daemon.CpuTime();
  std::mutex mutex;
  std::unique_lock lock{ mutex };
  std::condition_variable().wait_for(lock, kWindow);
  const double cpu =
    std::chrono::duration<double>(daemon.CpuTime() - before) / kWindow;
  constexpr double kMegabyte = 1e6;
  constexpr double kPercent = 100;
  Print({ "waiting_requests/rss",
          static_cast<double>(daemon.ResidentBytes()) / kMegabyte,
          "MB",
          idleBytes / kMegabyte,
          128.0,
          FLAGS_seed,
          kWaitingRequests });
  Print({ "waiting_requests/cpu",
          cpu * kPercent,
          "% of a core",
          0.0,
          1.2,
          FLAGS_seed,
          kWaitingRequests });
  for (const auto& client : clients) {
    client->stop();
  }
  for (std::thread& thread : threads) {
    thread.join();
  }
}

} // namespace

int
main(int aCount, char** aArguments)
{
  gflags::ParseCommandLineFlags(&aCount, &aArguments, true);
  try {
    LocalFleet fleet{ { FLAGS_build, 1, 4, 2, true } };
    fleet.WaitUntilReady();
    fleet.ExecuteCommand(0, "create pool spare spare");
    fleet.ExecuteCommand(0, "create pool web");
    for (const char* vm : { "vm0", "vm1", "vm2", "vm3" }) {
      fleet.ExecuteCommand(0, std::string("move ") + vm + " to web");
    }
    fleet.ExecuteCommand(0, "create service web in web budget 2");
    MeasureHops(fleet);
    MeasureWaiting(fleet);
  } catch (const std::exception& error) {
    std::cerr << "hop_bench: " << error.what() << '\n';
    return 1;
  }
}
