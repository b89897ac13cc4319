#pragma once

#include "Record.h"
#include "Store.h"
#include "Worker.h"

#include <cstdint>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include <sys/types.h>

namespace review {

/// A list of ports that no process listens on.
std::vector<int>
FreePorts(std::size_t aCount);

/// The platform's service for machines.
class Cloud
{
public:
  Cloud(Record& aRecord, Ledger& aLedger, Store& aStore);
  ~Cloud();
  Cloud(const Cloud&) = delete;
  Cloud& operator=(const Cloud&) = delete;

  /// Adds a machine that is up; its worker runs unless the pool is standby.
  void AddMachine(const std::string& aMachine,
                  const std::string& aPool,
                  bool aIsStandby);
  std::vector<std::shared_ptr<Worker>> Workers();
  [[nodiscard]] std::string Address() const { return server_.Address(); }
  void Run() { server_.Run(); }
  void Stop();
  /// Number of orders with a lower fencing token than an earlier order for the
  /// same machine.
  [[nodiscard]] std::size_t StaleOrders() const { return staleOrders_; }
  [[nodiscard]] std::size_t Orders() const { return orders_; }
  /// When the list of machines was last read.
  [[nodiscard]] std::int64_t ListedMs() const { return listedMs_; }

private:
  struct Machine
  {
    std::string pool_;
    std::string state_ = "up";
    std::shared_ptr<Worker> worker_;
    bool isStandby_ = false;
    std::uint64_t fence_ = 0;
    std::string holder_;
    std::int64_t upAtMs_ = -1;
  };

  void List(httplib::Response& aResponse);
  void Move(const httplib::Request& aRequest, httplib::Response& aResponse);
  void Tick();
  std::string NewWorkerId();

  Record& record_;
  Ledger& ledger_;
  Store& store_;
  Server server_;
  std::mutex mutex_;
  std::map<std::string, Machine> machines_;
  std::vector<std::shared_ptr<Worker>> endedWorkers_;
  std::set<std::string> standbyPools_;
  int lastWorker_ = 0;
  std::atomic<std::size_t> staleOrders_ = 0;
  std::atomic<std::size_t> orders_ = 0;
  std::atomic<std::int64_t> listedMs_ = -1;
  std::atomic<bool> isStopping_ = false;
  std::thread ticker_;
};

/// One process of the system, `verbenawell-entry`.
class Entry
{
public:
  Entry(Record& aRecord,
        std::string aName,
        const std::string& aFolder,
        const std::string& aStore,
        const std::string& aCloud);
  ~Entry();
  Entry(const Entry&) = delete;
  Entry& operator=(const Entry&) = delete;

  void Start();
  void Signal(int aSignal);
  /// Returns whether the process has ended; reaps it.
  bool HasEnded();
  [[nodiscard]] int Port() const { return frontend_; }
  [[nodiscard]] const std::string& Name() const { return name_; }
  [[nodiscard]] bool IsReady() const;

private:
  Record& record_;
  std::string name_;
  std::string settings_;
  std::string log_;
  int frontend_ = 0;
  int readiness_ = 0;
  pid_t process_ = 0;
};

/// Writes the configuration with one queue and its service, and a spare pool.
void
WriteConfiguration(Store& aStore, int aMaxAttempts);

/// Sends a request of a consumer to an entry. Returns the status; 0 without a
/// complete response.
int
Call(const Entry& aEntry,
     const std::string& aMethod,
     const std::string& aJob,
     const std::string& aBody,
     std::string* aResponse = nullptr);

/// Submits a job, again after each response that allows it, until it is
/// accepted. Returns whether it was.
bool
Submit(Record& aRecord,
       const std::vector<std::unique_ptr<Entry>>& aEntries,
       const std::string& aJob,
       const std::string& aBody,
       std::int64_t aTimeMs);

/// The state of a job; empty if no entry tells.
std::string
StateOf(const std::vector<std::unique_ptr<Entry>>& aEntries,
        const std::string& aJob);

/// Waits until an entry is ready.
bool
WaitUntilReady(const Entry& aEntry, std::int64_t aTimeMs);

std::string
JobId(std::uint64_t aNumber);

/// The body of a job of one step.
std::string
JobBody(std::int64_t aWorkMs, int aCount, int aCpu, int aMemoryMb);

/// Tells whether the scenario plays its disruption.
bool
HasTrouble();

/// A new temporary folder; removed by `Finish`.
std::string
MakeFolder();

/// Ends all processes, removes the folder and exits: 0 if the rule held, 1 if
/// it was broken, 2 if the case could not run.
[[noreturn]] void
Finish(Record& aRecord,
       std::vector<std::unique_ptr<Entry>>& aEntries,
       const std::string& aFolder,
       int aResult);

} // namespace review
