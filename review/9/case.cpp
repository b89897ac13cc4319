// A deployment of 380 machines, two of which form a pool of their own kind.
// Each job of that pool fits on either of them, and both are idle.

#include "../standins-2/Deployment.h"
#include "../standins-2/Record.h"
#include "../standins-2/Store.h"
#include "../standins-2/VmService.h"
#include "../standins-2/Workers.h"

#include <chrono>
#include <set>
#include <stdexcept>
#include <string>
#include <thread>

#include <nlohmann/json.hpp>

namespace {

using namespace std::chrono_literals;
using namespace verbenawell::review;

constexpr std::size_t kEntries = 3;
constexpr std::size_t kManyMachines = 378;
constexpr std::size_t kFewMachines = 100;
constexpr std::size_t kJobs = 8;
// The jobs take 2 s of work each, and all of them fit at the same time.
constexpr auto kWatchTime = 40s;

std::string
PathOf(std::size_t aJob)
{
  return "/reports/00000000000000d" + std::to_string(aJob);
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
  vms.Add("m-report-1", { .service_ = "reports", .kind_ = "b" });
  vms.Add("m-report-2", { .service_ = "reports", .kind_ = "b" });
  const std::size_t others = aHasTrouble ? kManyMachines : kFewMachines;
  for (std::size_t machine = 1; machine <= others; ++machine) {
    vms.Add("m-order-" + std::to_string(machine), { "orders" });
  }
  PutConfiguration(store,
                   { { "orders", "/orders/", "orders" },
                     { "reports", "/reports/", "reports" } },
                   { "orders", "reports" });
  Entries entries(aProgram, aFolder, store.Port(), vms.Port(), aRecord);
  for (std::size_t index = 1; index <= kEntries; ++index) {
    entries.Start(index);
  }
  if (!entries.WaitUntilReady(20s)) {
    throw std::runtime_error("the daemons are not ready");
  }
  std::this_thread::sleep_for(6s);
  const nlohmann::json job{ { "specification",
                              ToSpecification({ .workMs_ = 2000 }) },
                            { "steps",
                              { { { "count", 1 },
                                  { "cpu", 1000 },
                                  { "memoryRequestMb", 1024 },
                                  { "estimatedMs", 2000 } } } } };
  std::set<std::size_t> open;
  for (std::size_t number = 1; number <= kJobs; ++number) {
    if (!entries.Submit(PathOf(number), job.dump())) {
      throw std::runtime_error("a job is not accepted");
    }
    open.insert(number);
  }
  const auto end = std::chrono::steady_clock::now() + kWatchTime;
  while (std::chrono::steady_clock::now() < end && !open.empty()) {
    std::this_thread::sleep_for(2s);
    for (std::size_t number = 1; number <= kJobs; ++number) {
      if (open.contains(number) &&
          entries.StateOf(PathOf(number)) == "completed") {
        open.erase(number);
      }
    }
  }
  aRecord.Write(std::to_string(open.size()) + " of " + std::to_string(kJobs) +
                " jobs have not been completed");
  return open.empty();
}

} // namespace

int
main(int aCount, char** aArguments)
{
  return RunCase(aCount, aArguments, Run);
}
