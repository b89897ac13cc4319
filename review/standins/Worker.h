#pragma once

#include "Record.h"
#include "Store.h"

#include <atomic>
#include <condition_variable>
#include <cstdint>
#include <deque>
#include <map>
#include <mutex>
#include <set>
#include <string>
#include <thread>

#include <nlohmann/json.hpp>

namespace review {

/// A worker as the pages describe it. A work item works for the milliseconds
/// that its specification names, as in "work 300".
class Worker
{
public:
  Worker(Record& aRecord,
         Ledger& aLedger,
         Store& aStore,
         std::string aId,
         std::string aService,
         std::string aAddress = {});
  ~Worker();
  Worker(const Worker&) = delete;
  Worker& operator=(const Worker&) = delete;

  [[nodiscard]] const std::string& Id() const { return id_; }
  [[nodiscard]] std::size_t Running();
  /// Ends the life of the worker and everything that runs on it. A worker that
  /// has crashed leaves its entry in the store.
  void End(bool aHasCrashed = false);
  [[nodiscard]] int Port() const { return server_.Port(); }
  /// The highest fencing token that the worker has seen.
  std::uint64_t Fence();
  /// Holds up calls with this fencing token, as a cut link does.
  void HoldUp(std::uint64_t aToken) { heldToken_ = aToken; }
  /// Cuts the worker off from all callers, or ends the cut. It runs on.
  void SetCutOff(bool aIsCutOff) { isCutOff_ = aIsCutOff; }

private:
  struct Run
  {
    std::uint32_t number_ = 0;
    std::int64_t startedMs_ = 0;
    std::int64_t workMs_ = 0;
    /// When a stop ends it; -1 without one.
    std::int64_t stopsMs_ = -1;
  };

  struct EndedRun
  {
    std::uint64_t number_ = 0;
    std::string task_;
    std::uint32_t run_ = 0;
    std::string how_;
    /// The lease lapsed before the end was taken note of.
    bool isLapsed_ = false;
  };

  [[nodiscard]] std::int64_t Clock() const;
  void Register(bool aIsGone);
  void Beat();
  void Tick();
  void EndRun(const std::string& aTask, const std::string& aHow);
  bool Enter(const httplib::Request& aRequest,
             const nlohmann::json& aBody,
             httplib::Response& aResponse);
  void Start(const nlohmann::json& aBody, httplib::Response& aResponse);
  void StopRun(const nlohmann::json& aBody, httplib::Response& aResponse);
  void Hold(const nlohmann::json& aBody, httplib::Response& aResponse);
  void Answer(httplib::Response& aResponse,
              int aStatus,
              nlohmann::json aBody) const;

  Record& record_;
  Ledger& ledger_;
  Store& store_;
  std::string id_;
  std::string service_;
  /// The address in the entry; the server's own if it is empty.
  std::string address_;
  std::int64_t bornMs_;
  std::int64_t startMs_;
  Server server_;
  std::mutex mutex_;
  std::condition_variable changed_;
  std::map<std::string, Run> running_;
  std::deque<EndedRun> ended_;
  std::map<std::string, std::uint32_t> highestEnded_;
  std::uint64_t lastEnd_ = 0;
  std::uint64_t fence_ = 0;
  std::int64_t leaseEnd_ = 0;
  std::int64_t sequence_ = 0;
  std::atomic<std::uint64_t> heldToken_ = 0;
  std::atomic<bool> isCutOff_ = false;
  std::atomic<bool> isEnded_ = false;
  std::thread ticker_;
};

} // namespace review
