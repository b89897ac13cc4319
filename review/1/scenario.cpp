// A job has more small work items on one worker than the worker lists ends at a
// time. The worker is cut off while they end.

#include "../standins/Deployment.h"

#include <thread>

namespace {

using namespace review;

constexpr int kWorkers = 6;
constexpr int kTasksPerWorker = 600;
constexpr std::int64_t kWorkMs = 3000;
constexpr int kCpu = 100;
constexpr int kMemoryMb = 100;
constexpr std::int64_t kCutMs = 5000;
constexpr std::int64_t kStartLimitMs = 20'000;
constexpr std::int64_t kEndLimitMs = 40'000;

} // namespace

int
main(int /*aCount*/, char** aArguments)
{
  Record record(aArguments[1]);
  Ledger ledger(record);
  Store store(record);
  store.Run();
  Cloud cloud(record, ledger, store);
  cloud.Run();
  for (int machine = 1; machine <= kWorkers; ++machine) {
    cloud.AddMachine("m-" + std::to_string(machine), "slots", false);
  }
  WriteConfiguration(store, 4);
  const std::string folder = MakeFolder();
  std::vector<std::unique_ptr<Entry>> entries;
  for (const char* name : { "entry-1", "entry-2", "entry-3" }) {
    entries.push_back(std::make_unique<Entry>(
      record, name, folder, store.Address(), cloud.Address()));
    entries.back()->Start();
  }
  for (const auto& entry : entries) {
    if (!WaitUntilReady(*entry, 10'000)) {
      Finish(record, entries, folder, 2);
    }
  }
  SleepMs(4000);
  const std::string job = JobId(1);
  const std::size_t count = std::size_t{ kWorkers } * kTasksPerWorker;
  if (!Submit(record,
              entries,
              job,
              JobBody(kWorkMs, static_cast<int>(count), kCpu, kMemoryMb),
              10'000)) {
    Finish(record, entries, folder, 2);
  }
  const std::int64_t startLimit = NowMs() + kStartLimitMs;
  while (ledger.Starts() < count && NowMs() < startLimit) {
    SleepMs(10);
  }
  record.Write("work items started: " + std::to_string(ledger.Starts()));
  if (HasTrouble()) {
    const auto worker = cloud.Workers().front();
    record.Write("worker " + worker->Id() + " is cut off, running " +
                 std::to_string(worker->Running()) + " work items");
    worker->SetCutOff(true);
    SleepMs(kCutMs);
    worker->SetCutOff(false);
    record.Write("the cut is over");
  }
  const std::int64_t endLimit = NowMs() + kEndLimitMs;
  std::string state;
  while (state != "completed" && NowMs() < endLimit) {
    SleepMs(500);
    state = StateOf(entries, job);
  }
  SleepMs(3000);
  const std::size_t doubled = ledger.CountDoubled();
  record.Write("state of the job: " + state +
               "; work items done: " + std::to_string(ledger.DoneTasks(job)) +
               " of " + std::to_string(count) +
               "; starts: " + std::to_string(ledger.Starts()) +
               "; doubled: " + std::to_string(doubled));
  Finish(record, entries, folder, doubled > 0 ? 1 : 0);
}
