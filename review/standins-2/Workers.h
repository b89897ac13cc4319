#pragma once

#include "Http.h"
#include "Record.h"
#include "Store.h"

#include <condition_variable>
#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <mutex>
#include <set>
#include <string>
#include <thread>
#include <vector>

namespace verbenawell::review {

/// What a client's `specification` tells a worker of the work, as JSON text.
struct Work
{
  std::int64_t workMs_ = 1000;
  /// Runs until it is stopped.
  bool lasts_ = false;
  /// Number of work items that work only together; 0 for none.
  std::size_t gang_ = 0;
  /// Work between two checkpoints; 0 for none.
  std::int64_t checkpointMs_ = 0;
};

std::string
ToSpecification(const Work& aWork);

struct RunEnd
{
  std::uint64_t number_ = 0;
  std::string task_;
  std::uint32_t run_ = 0;
  std::string how_;
  std::string saved_;
  std::int64_t atMs_ = 0;
};

struct RunStart
{
  std::string worker_;
  std::string task_;
  std::uint32_t run_ = 0;
  std::string checkpoint_;
  std::int64_t atMs_ = 0;
};

struct WorkerKind
{
  std::string service_;
  std::uint64_t cpu_ = 16000;
  std::uint64_t memoryMb_ = 32768;
  std::string kind_ = "a";
};

/// The workers of a deployment, as PROTOCOL.md describes them.
class Workers
{
public:
  Workers(Store& aStore, Record& aRecord);
  ~Workers();

  /// Starts a worker under a new id, on a new address.
  void Add(const std::string& aId, const WorkerKind& aKind);
  /// The worker runs nothing and sends nothing until `Restart`. Its entry is
  /// removed after three missing heartbeats.
  void Crash(const std::string& aId);
  /// Starts it again under the same id and address.
  void Restart(const std::string& aId);
  /// Ends a worker for good, as its machine is taken down.
  void Remove(const std::string& aId);

  /// Returns the worker that runs a work item; empty if none does.
  [[nodiscard]] std::string WorkerOf(const std::string& aTask);
  [[nodiscard]] bool IsAnyRunning();
  [[nodiscard]] std::vector<RunEnd> Ends();
  [[nodiscard]] std::vector<RunStart> Starts();

private:
  struct Run
  {
    std::uint32_t run_ = 0;
    Work work_;
    std::string checkpoint_;
    std::int64_t presentSinceMs_ = 0;
    /// When work begins or began; for a gang, once all members are present.
    std::int64_t workSinceMs_ = -1;
    std::int64_t doneBeforeMs_ = 0;
    std::int64_t stopsAtMs_ = -1;
  };

  struct Worker
  {
    std::string id_;
    WorkerKind kind_;
    std::uint16_t port_ = 0;
    std::unique_ptr<HttpServer> server_;
    bool isUp_ = false;
    std::int64_t bornMs_ = 0;
    std::int64_t clockStartMs_ = 0;
    std::uint64_t fence_ = 0;
    std::int64_t leaseEndMs_ = 0;
    std::uint64_t lastEnd_ = 0;
    std::uint64_t sequence_ = 0;
    std::int64_t nextHeartbeatMs_ = 0;
    std::int64_t entryDropsAtMs_ = -1;
    std::map<std::string, Run> runs_;
    std::map<std::string, std::uint32_t> highestEnded_;
    std::deque<RunEnd> ends_;
  };

  std::optional<HttpResponse> Handle(const std::string& aId,
                                     const HttpRequest& aRequest);
  HttpResponse Start(Worker& aWorker, const std::string& aBody);
  HttpResponse Stop(Worker& aWorker, const std::string& aBody);
  std::optional<HttpResponse> Hold(std::unique_lock<std::mutex>& aLock,
                                   const std::string& aId,
                                   const std::string& aBody);
  void Serve(Worker& aWorker);
  void Register(Worker& aWorker);
  void TickLoop();
  void Tick(Worker& aWorker);
  void TickGangs();
  void End(Worker& aWorker, const std::string& aTask, const std::string& aHow);
  void Leave(Worker& aWorker);
  void BreakGang(const std::string& aTask, const Run& aRun);
  [[nodiscard]] std::int64_t Clock(const Worker& aWorker) const;
  [[nodiscard]] std::int64_t DoneMs(const Run& aRun) const;
  [[nodiscard]] std::string Saved(const Run& aRun) const;
  void ExtendLease(Worker& aWorker, std::int64_t aDeadlineMs) const;

  Store& store_;
  Record& record_;
  std::mutex mutex_;
  std::condition_variable changed_;
  bool isStopping_ = false;
  std::map<std::string, Worker> workers_;
  std::vector<RunEnd> allEnds_;
  std::vector<RunStart> allStarts_;
  std::thread thread_;
};

} // namespace verbenawell::review
