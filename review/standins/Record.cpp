#include "Record.h"

#include <algorithm>
#include <thread>

namespace review {

namespace {

constexpr std::size_t kMaxReportedViolations = 20;

std::chrono::steady_clock::time_point
StartTime()
{
  static const auto kStart = std::chrono::steady_clock::now();
  return kStart;
}

} // namespace

std::int64_t
NowMs()
{
  return std::chrono::duration_cast<std::chrono::milliseconds>(
           std::chrono::steady_clock::now() - StartTime())
    .count();
}

void
SleepMs(std::int64_t aMilliseconds)
{
  std::this_thread::sleep_for(std::chrono::milliseconds(aMilliseconds));
}

Record::Record(const std::string& aPath)
  : file_(aPath)
{
}

void
Record::Write(const std::string& aLine)
{
  const std::scoped_lock lock(mutex_);
  file_ << NowMs() << " ms  " << aLine << '\n' << std::flush;
}

Ledger::Ledger(Record& aRecord)
  : record_(aRecord)
{
}

ObservedRun*
Ledger::Find(const std::string& aTask,
             const std::string& aWorker,
             std::uint32_t aNumber)
{
  for (ObservedRun& run : runs_[aTask]) {
    if (run.worker_ == aWorker && run.number_ == aNumber) {
      return &run;
    }
  }
  return nullptr;
}

void
Ledger::Start(const std::string& aTask,
              const std::string& aWorker,
              std::uint32_t aNumber)
{
  const std::scoped_lock lock(mutex_);
  runs_[aTask].push_back({ aWorker, aNumber, NowMs(), -1, {}, -1 });
  record_.Write("start " + aTask + " run " + std::to_string(aNumber) + " on " +
                aWorker);
}

void
Ledger::End(const std::string& aTask,
            const std::string& aWorker,
            std::uint32_t aNumber,
            const std::string& aHow)
{
  const std::scoped_lock lock(mutex_);
  if (ObservedRun* run = Find(aTask, aWorker, aNumber); run != nullptr) {
    run->endedMs_ = NowMs();
    run->how_ = aHow;
  }
  record_.Write("end " + aTask + " run " + std::to_string(aNumber) + " on " +
                aWorker + " " + aHow);
}

void
Ledger::Acknowledge(const std::string& aTask,
                    const std::string& aWorker,
                    std::uint32_t aNumber)
{
  const std::scoped_lock lock(mutex_);
  if (ObservedRun* run = Find(aTask, aWorker, aNumber); run != nullptr) {
    run->acknowledgedMs_ = NowMs();
  }
}

std::size_t
Ledger::DoneTasks(const std::string& aJob)
{
  const std::scoped_lock lock(mutex_);
  return static_cast<std::size_t>(
    std::ranges::count_if(runs_, [&](const auto& aEntry) {
      return aEntry.first.starts_with(aJob + ".") &&
             std::ranges::any_of(aEntry.second, [](const ObservedRun& aRun) {
               return aRun.how_ == "done";
             });
    }));
}

std::size_t
Ledger::Starts()
{
  const std::scoped_lock lock(mutex_);
  std::size_t starts = 0;
  for (const auto& [task, runs] : runs_) {
    starts += runs.size();
  }
  return starts;
}

std::size_t
Ledger::CountDoubled()
{
  const std::scoped_lock lock(mutex_);
  std::size_t violations = 0;
  const auto describe = [](const ObservedRun& aRun) {
    return "run " + std::to_string(aRun.number_) + " on " + aRun.worker_ +
           " (started " + std::to_string(aRun.startedMs_) + ", ended " +
           std::to_string(aRun.endedMs_) + " " + aRun.how_ +
           ", taken note of " + std::to_string(aRun.acknowledgedMs_) + ")";
  };
  for (const auto& [task, runs] : runs_) {
    for (const ObservedRun& first : runs) {
      for (const ObservedRun& second : runs) {
        if (&first == &second || second.startedMs_ < first.startedMs_) {
          continue;
        }
        const bool isOverlap =
          first.endedMs_ < 0 || second.startedMs_ < first.endedMs_;
        const bool isAfterDone =
          !isOverlap && first.how_ == "done" && first.acknowledgedMs_ >= 0;
        if (!isOverlap && !isAfterDone) {
          continue;
        }
        if (++violations <= kMaxReportedViolations) {
          record_.Write("TWICE " + task + ": " + describe(first) + ", then " +
                        describe(second));
        }
      }
    }
  }
  return violations;
}

} // namespace review
