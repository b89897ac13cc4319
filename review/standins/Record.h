#pragma once

#include <chrono>
#include <cstdint>
#include <fstream>
#include <map>
#include <mutex>
#include <string>
#include <vector>

namespace review {

/// Milliseconds since the start of the scenario.
std::int64_t
NowMs();

void
SleepMs(std::int64_t aMilliseconds);

/// The record of a scenario: one line for each event, with its time.
class Record
{
public:
  explicit Record(const std::string& aPath);

  void Write(const std::string& aLine);

private:
  std::mutex mutex_;
  std::ofstream file_;
};

/// A run of a work item, as its worker saw it.
struct ObservedRun
{
  std::string worker_;
  std::uint32_t number_ = 0;
  std::int64_t startedMs_ = 0;
  /// -1 while it runs.
  std::int64_t endedMs_ = -1;
  std::string how_;
  /// When `ackedThrough` reached its end; -1 before.
  std::int64_t acknowledgedMs_ = -1;
};

/// All runs of all work items, as the workers saw them.
class Ledger
{
public:
  explicit Ledger(Record& aRecord);

  void Start(const std::string& aTask,
             const std::string& aWorker,
             std::uint32_t aNumber);
  void End(const std::string& aTask,
           const std::string& aWorker,
           std::uint32_t aNumber,
           const std::string& aHow);
  void Acknowledge(const std::string& aTask,
                   const std::string& aWorker,
                   std::uint32_t aNumber);

  /// Number of work items of a job that have ended `done`.
  std::size_t DoneTasks(const std::string& aJob);
  std::size_t Starts();

  /// The rule TWICE: two runs of one work item at the same time, or a start
  /// after a run has ended `done`, if that end was taken note of. Writes each
  /// violation to the record and returns their number.
  std::size_t CountDoubled();

private:
  ObservedRun* Find(const std::string& aTask,
                    const std::string& aWorker,
                    std::uint32_t aNumber);

  std::mutex mutex_;
  Record& record_;
  std::map<std::string, std::vector<ObservedRun>> runs_;
};

} // namespace review
