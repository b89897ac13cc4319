// A client submits a job that runs each minute for 35 days, and gives the time
// of the first run in seconds. Another job has been accepted before.

#include "../standins-2/Deployment.h"
#include "../standins-2/Record.h"
#include "../standins-2/Store.h"
#include "../standins-2/VmService.h"
#include "../standins-2/Workers.h"

#include <chrono>
#include <stdexcept>
#include <string>
#include <thread>

#include <nlohmann/json.hpp>

namespace {

using namespace std::chrono_literals;
using namespace verbenawell::review;

constexpr std::size_t kEntries = 3;
constexpr std::size_t kMachines = 8;
constexpr std::uint32_t kRepetitions = 35 * 24 * 60;
constexpr std::int64_t kIntervalMs = 60'000;
constexpr auto kWatchTime = 60s;
// `finish_s` of the site.
constexpr std::int64_t kFinishMs = 14'000;

const std::string kPath = "/orders/00000000000000e1";
const std::string kRepeatedPath = "/orders/00000000000000e2";

bool
Run(const std::string& aProgram,
    const std::string& aFolder,
    bool aHasTrouble,
    Record& aRecord)
{
  Store store;
  Workers workers(store, aRecord);
  VmService vms(workers, aRecord);
  for (std::size_t machine = 1; machine <= kMachines; ++machine) {
    vms.Add("m" + std::to_string(machine), { "orders" });
  }
  PutConfiguration(store, { { "orders", "/orders/", "orders" } }, { "orders" });
  Entries entries(aProgram, aFolder, store.Port(), vms.Port(), aRecord);
  for (std::size_t index = 1; index <= kEntries; ++index) {
    entries.Start(index);
  }
  if (!entries.WaitUntilReady(20s)) {
    throw std::runtime_error("the daemons are not ready");
  }
  nlohmann::json job{ { "specification",
                        ToSpecification({ .workMs_ = 20'000 }) },
                      { "steps",
                        { { { "count", 2 },
                            { "cpu", 1000 },
                            { "memoryRequestMb", 1024 },
                            { "estimatedMs", 20'000 } } } } };
  if (!entries.Submit(kPath, job.dump())) {
    throw std::runtime_error("the job is not accepted");
  }
  const auto now = std::chrono::system_clock::now().time_since_epoch();
  job["specification"] = ToSpecification({ .workMs_ = 500 });
  job["steps"] = { { { "count", 1 },
                     { "cpu", 1000 },
                     { "memoryRequestMb", 256 },
                     { "estimatedMs", 500 } } };
  job["repetitions"] = kRepetitions;
  job["intervalMs"] = kIntervalMs;
  job["firstRunMs"] =
    aHasTrouble
      ? std::chrono::duration_cast<std::chrono::seconds>(now).count()
      : std::chrono::duration_cast<std::chrono::milliseconds>(now).count();
  // It may be accepted or refused.
  entries.Call(1, "POST", kRepeatedPath, job.dump());
  const auto end = std::chrono::steady_clock::now() + kWatchTime;
  std::int64_t answeredAtMs = aRecord.NowMs();
  std::string state;
  while (std::chrono::steady_clock::now() < end) {
    state = entries.StateOf(kPath);
    if (!state.empty()) {
      answeredAtMs = aRecord.NowMs();
    }
    std::this_thread::sleep_for(500ms);
  }
  const std::int64_t silentMs = aRecord.NowMs() - answeredAtMs;
  aRecord.Write("no answer about the accepted job for " +
                std::to_string(silentMs) + " ms; its last state is " +
                (state.empty() ? "unknown" : state));
  return silentMs < kFinishMs && state == "completed";
}

} // namespace

int
main(int aCount, char** aArguments)
{
  return RunCase(aCount, aArguments, Run);
}
