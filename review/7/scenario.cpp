// Two workers crash one after the other, each while it runs the same lasting
// task. No run of the task ends as failed, and nobody cancels the job.

#include "../standins-2/Deployment.h"
#include "../standins-2/Record.h"
#include "../standins-2/Store.h"
#include "../standins-2/VmService.h"
#include "../standins-2/Workers.h"

#include <algorithm>
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
constexpr int kCrashes = 2;
// A crashed worker is back after this time.
constexpr auto kDownTime = 1500ms;
// Time from the start of the task on the next worker to its crash.
constexpr auto kTimeBetweenCrashes = 3s;
constexpr auto kWatchTime = 20s;

const std::string kPath = "/quotes/00000000000000a1";
const std::string kTask = "00000000000000a1.0.0.0";

std::string
WaitForWorker(Workers& aWorkers)
{
  for (int attempt = 0; attempt < 200; ++attempt) {
    if (std::string worker = aWorkers.WorkerOf(kTask); !worker.empty()) {
      return worker;
    }
    std::this_thread::sleep_for(100ms);
  }
  return {};
}

bool
HasFailedRun(Workers& aWorkers)
{
  return std::ranges::any_of(
    aWorkers.Ends(), [](const RunEnd& aEnd) { return aEnd.how_ == "failed"; });
}

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
    vms.Add("m" + std::to_string(machine), { "quotes" });
  }
  PutConfiguration(store, { { "quotes", "/quotes/", "quotes" } }, { "quotes" });
  Entries entries(aProgram, aFolder, store.Port(), vms.Port(), aRecord);
  for (std::size_t index = 1; index <= kEntries; ++index) {
    entries.Start(index);
  }
  if (!entries.WaitUntilReady(20s)) {
    throw std::runtime_error("the daemons are not ready");
  }
  const nlohmann::json job{ { "specification",
                              ToSpecification({ .lasts_ = true }) },
                            { "steps",
                              { { { "count", 2 },
                                  { "cpu", 2000 },
                                  { "memoryRequestMb", 1024 },
                                  { "longRunning", true } } } } };
  if (!entries.Submit(kPath, job.dump()) || WaitForWorker(workers).empty()) {
    throw std::runtime_error("the job does not start");
  }
  std::this_thread::sleep_for(5s);
  for (int crash = 0; aHasTrouble && crash < kCrashes; ++crash) {
    const std::string worker = WaitForWorker(workers);
    if (worker.empty()) {
      throw std::runtime_error("the task does not start again");
    }
    std::this_thread::sleep_for(kTimeBetweenCrashes);
    workers.Crash(worker);
    std::this_thread::sleep_for(kDownTime);
    workers.Restart(worker);
  }
  const auto end = std::chrono::steady_clock::now() + kWatchTime;
  while (std::chrono::steady_clock::now() < end) {
    const std::string state = entries.StateOf(kPath);
    if ((state == "failed" && !HasFailedRun(workers)) || state == "unknown" ||
        state == "cancelled") {
      return false;
    }
    std::this_thread::sleep_for(500ms);
  }
  return true;
}

} // namespace

int
main(int aCount, char** aArguments)
{
  return RunCase(aCount, aArguments, Run);
}
