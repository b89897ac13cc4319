// Workers crash one after the other, and each starts again at once under its
// identifier. Short work items that run next are taken for lost and run twice.

#include "../standins/Deployment.h"
#include "../standins/Proxy.h"

namespace {

using namespace review;

constexpr int kWorkers = 8;
constexpr std::int64_t kJobEveryMs = 1630;
constexpr std::int64_t kCrashAfterMs = 1000;
constexpr std::int64_t kDownMs = 300;
constexpr std::int64_t kWorkMs = 20;
constexpr int kCpu = 1000;
constexpr int kMemoryMb = 500;
// Jobs before the first crash.
constexpr int kFirstJobs = 3;

struct Site
{
  std::string id_;
  std::unique_ptr<Proxy> link_;
  std::shared_ptr<Worker> worker_;
};

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
  std::vector<Site> sites;
  std::vector<std::shared_ptr<Worker>> formerLives;
  for (int number = 1; number <= kWorkers; ++number) {
    Site site{ "i-" + std::to_string(100 + number),
               std::make_unique<Proxy>(0),
               nullptr };
    site.worker_ = std::make_shared<Worker>(
      record, ledger, store, site.id_, "slots", site.link_->Address());
    site.link_->SetServer(site.worker_->Port());
    sites.push_back(std::move(site));
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
  for (int round = 0; round < kFirstJobs + kWorkers + 1; ++round) {
    const std::int64_t begin = NowMs();
    if (!Submit(record,
                entries,
                JobId(static_cast<std::uint64_t>(round) + 1),
                JobBody(kWorkMs, kWorkers, kCpu, kMemoryMb),
                10'000)) {
      Finish(record, entries, folder, 2);
    }
    const int index = round - kFirstJobs;
    if (HasTrouble() && index >= 0 && index < kWorkers) {
      Site& site = sites[static_cast<std::size_t>(index)];
      SleepMs(begin + kCrashAfterMs - NowMs());
      record.Write("worker " + site.id_ + " crashes");
      site.link_->SetDown();
      site.worker_->End(true);
      formerLives.push_back(site.worker_);
      SleepMs(kDownMs);
      site.worker_ = std::make_shared<Worker>(
        record, ledger, store, site.id_, "slots", site.link_->Address());
      site.link_->SetServer(site.worker_->Port());
    }
    SleepMs(begin + kJobEveryMs - NowMs());
  }
  SleepMs(4000);
  const std::size_t doubled = ledger.CountDoubled();
  record.Write("starts: " + std::to_string(ledger.Starts()) +
               "; doubled: " + std::to_string(doubled));
  Finish(record, entries, folder, doubled > 0 ? 1 : 0);
}
