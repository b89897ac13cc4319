// The store is down for 13 s. Near the end of that time, one of six workers is
// lost for good. The other workers have room for its task.

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
constexpr std::size_t kMachines = 6;
constexpr std::size_t kTasks = 5;
constexpr std::int64_t kWorkMs = 25'000;
constexpr auto kOutageBeforeLoss = 11s;
constexpr auto kOutageAfterLoss = 2s;
// Time after the return of the store in which each task could run twice, one
// run after the other.
constexpr auto kTimeToComplete = 60s;
// The rule names 3 s without a run, after 4 s of calm.
constexpr std::int64_t kIdleMs = 7000;

const std::string kPath = "/orders/00000000000000b1";

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
  // One task fits on a worker at a time.
  const nlohmann::json job{ { "specification",
                              ToSpecification({ .workMs_ = kWorkMs }) },
                            { "steps",
                              { { { "count", kTasks },
                                  { "cpu", 9000 },
                                  { "memoryRequestMb", 1024 },
                                  { "estimatedMs", kWorkMs } } } } };
  if (!entries.Submit(kPath, job.dump())) {
    throw std::runtime_error("the job is not accepted");
  }
  std::this_thread::sleep_for(3s);
  if (aHasTrouble) {
    aRecord.Write("the store is down");
    store.SetDown(true);
    std::this_thread::sleep_for(kOutageBeforeLoss);
    vms.Lose("m2");
    std::this_thread::sleep_for(kOutageAfterLoss);
    store.SetDown(false);
    aRecord.Write("the store is back");
  }
  const auto end = std::chrono::steady_clock::now() + kTimeToComplete;
  std::int64_t busyAtMs = aRecord.NowMs();
  while (std::chrono::steady_clock::now() < end) {
    if (workers.IsAnyRunning()) {
      busyAtMs = aRecord.NowMs();
    }
    const std::string state = entries.StateOf(kPath);
    if (state == "completed") {
      return true;
    }
    if (aRecord.NowMs() - busyAtMs > 3 * kIdleMs) {
      break;
    }
    std::this_thread::sleep_for(500ms);
  }
  aRecord.Write("nothing has run for " +
                std::to_string(aRecord.NowMs() - busyAtMs) + " ms");
  return aRecord.NowMs() - busyAtMs < kIdleMs;
}

} // namespace

int
main(int aCount, char** aArguments)
{
  return RunCase(aCount, aArguments, Run);
}
