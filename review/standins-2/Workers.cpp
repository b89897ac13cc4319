#include "Workers.h"

#include <algorithm>
#include <chrono>
#include <cstdio>
#include <limits>
#include <utility>

#include <nlohmann/json.hpp>

namespace verbenawell::review {

namespace {

using nlohmann::json;
using namespace std::chrono_literals;

// The figures of the pages' example deployments.
constexpr std::int64_t kMaxHoldMs = 10'000;
constexpr std::int64_t kStopMs = 200;
constexpr std::int64_t kGangTimeoutMs = 3000;
constexpr std::int64_t kRestoreMs = 250;
constexpr std::int64_t kHeartbeatMs = 1500;
constexpr std::int64_t kStartupMs = 500;
constexpr std::size_t kMaxListedEnds = 500;
constexpr std::int64_t kMaxWaitMs = 2000;
constexpr auto kTick = 10ms;

std::int64_t
WallMs()
{
  return std::chrono::duration_cast<std::chrono::milliseconds>(
           std::chrono::system_clock::now().time_since_epoch())
    .count();
}

std::string
GangOf(const std::string& aTask, std::uint32_t aRun)
{
  return aTask.substr(0, aTask.rfind('.')) + "#" + std::to_string(aRun);
}

Work
ParseWork(const std::string& aSpecification)
{
  const json text = json::parse(aSpecification);
  return { text.value("workMs", std::int64_t{ 1000 }),
           text.value("lasts", false),
           text.value("gang", std::size_t{ 0 }),
           text.value("checkpointMs", std::int64_t{ 0 }) };
}

} // namespace

std::string
ToSpecification(const Work& aWork)
{
  return json{
    { "workMs", aWork.workMs_ },
    { "lasts", aWork.lasts_ },
    { "gang", aWork.gang_ },
    { "checkpointMs", aWork.checkpointMs_ }
  }.dump();
}

Workers::Workers(Store& aStore, Record& aRecord)
  : store_(aStore)
  , record_(aRecord)
  , thread_([this] { TickLoop(); })
{
}

Workers::~Workers()
{
  {
    const std::lock_guard lock(mutex_);
    isStopping_ = true;
  }
  changed_.notify_all();
  thread_.join();
  for (auto& [id, worker] : workers_) {
    if (worker.server_) {
      worker.server_->Stop();
    }
  }
  // Handlers that still run end before the state is destroyed.
  std::this_thread::sleep_for(100ms);
}

void
Workers::Add(const std::string& aId, const WorkerKind& aKind)
{
  const std::lock_guard lock(mutex_);
  Worker& worker = workers_[aId];
  worker.id_ = aId;
  worker.kind_ = aKind;
  Serve(worker);
}

void
Workers::Serve(Worker& aWorker)
{
  aWorker.isUp_ = true;
  aWorker.bornMs_ = WallMs();
  aWorker.clockStartMs_ = record_.NowMs();
  aWorker.fence_ = 0;
  aWorker.leaseEndMs_ = 0;
  aWorker.lastEnd_ = 0;
  aWorker.sequence_ = 0;
  aWorker.entryDropsAtMs_ = -1;
  aWorker.runs_.clear();
  aWorker.highestEnded_.clear();
  aWorker.ends_.clear();
  aWorker.server_ = std::make_unique<HttpServer>(
    [this, id = aWorker.id_](const HttpRequest& aRequest) {
      return Handle(id, aRequest);
    },
    aWorker.port_);
  aWorker.port_ = aWorker.server_->Port();
  record_.Write("worker " + aWorker.id_ + " starts, born " +
                std::to_string(aWorker.bornMs_));
  Register(aWorker);
}

void
Workers::Register(Worker& aWorker)
{
  aWorker.nextHeartbeatMs_ = record_.NowMs() + kHeartbeatMs;
  store_.Put("keyed.servers",
             aWorker.id_,
             json{ { "service", aWorker.kind_.service_ },
                   { "address", "127.0.0.1:" + std::to_string(aWorker.port_) },
                   { "zone", "zone-a" },
                   { "version", "v1" },
                   { "slots", 8 },
                   { "state", "ready" },
                   { "coldRemainingMs", 0 },
                   { "capacity",
                     { { "cpu", aWorker.kind_.cpu_ },
                       { "memoryRequestMb", aWorker.kind_.memoryMb_ },
                       { "gpu", 0 } } },
                   { "labels", { aWorker.kind_.kind_, "rack-1" } },
                   { "born", aWorker.bornMs_ },
                   { "clockMs", Clock(aWorker) },
                   { "sequence", ++aWorker.sequence_ } }
               .dump());
}

void
Workers::Crash(const std::string& aId)
{
  std::unique_ptr<HttpServer> server;
  {
    const std::lock_guard lock(mutex_);
    Worker& worker = workers_.at(aId);
    Leave(worker);
    worker.entryDropsAtMs_ = record_.NowMs() + 3 * kHeartbeatMs;
    server = std::move(worker.server_);
    record_.Write("worker " + aId + " crashes");
  }
  changed_.notify_all();
  server->Stop();
}

void
Workers::Restart(const std::string& aId)
{
  const std::lock_guard lock(mutex_);
  Serve(workers_.at(aId));
}

void
Workers::Remove(const std::string& aId)
{
  std::unique_ptr<HttpServer> server;
  {
    const std::lock_guard lock(mutex_);
    Worker& worker = workers_.at(aId);
    Leave(worker);
    store_.Put("keyed.servers", aId, {});
    server = std::move(worker.server_);
    record_.Write("worker " + aId + " ends with its machine");
  }
  changed_.notify_all();
  if (server) {
    server->Stop();
  }
}

void
Workers::Leave(Worker& aWorker)
{
  aWorker.isUp_ = false;
  const auto runs = std::exchange(aWorker.runs_, {});
  for (const auto& [task, run] : runs) {
    record_.Write("run " + task + " " + std::to_string(run.run_) +
                  " is gone with worker " + aWorker.id_);
    BreakGang(task, run);
  }
}

// The other members of a gang that works end as soon as one has gone.
void
Workers::BreakGang(const std::string& aTask, const Run& aRun)
{
  if (aRun.work_.gang_ == 0 || aRun.workSinceMs_ < 0) {
    return;
  }
  const std::string gang = GangOf(aTask, aRun.run_);
  for (auto& [id, other] : workers_) {
    std::vector<std::string> members;
    for (const auto& [task, run] : other.runs_) {
      if (task != aTask && GangOf(task, run.run_) == gang) {
        members.push_back(task);
      }
    }
    for (const std::string& member : members) {
      End(other, member, "broken");
    }
  }
}

std::string
Workers::WorkerOf(const std::string& aTask)
{
  const std::lock_guard lock(mutex_);
  for (const auto& [id, worker] : workers_) {
    if (worker.runs_.contains(aTask)) {
      return id;
    }
  }
  return {};
}

bool
Workers::IsAnyRunning()
{
  const std::lock_guard lock(mutex_);
  return std::ranges::any_of(workers_, [](const auto& aWorker) {
    return !aWorker.second.runs_.empty();
  });
}

std::vector<RunEnd>
Workers::Ends()
{
  const std::lock_guard lock(mutex_);
  return allEnds_;
}

std::vector<RunStart>
Workers::Starts()
{
  const std::lock_guard lock(mutex_);
  return allStarts_;
}

std::int64_t
Workers::Clock(const Worker& aWorker) const
{
  return record_.NowMs() - aWorker.clockStartMs_;
}

void
Workers::ExtendLease(Worker& aWorker, std::int64_t aDeadlineMs) const
{
  aWorker.leaseEndMs_ = std::max(
    aWorker.leaseEndMs_, std::min(aDeadlineMs, Clock(aWorker) + kMaxHoldMs));
}

std::int64_t
Workers::DoneMs(const Run& aRun) const
{
  const std::int64_t now = record_.NowMs();
  return aRun.workSinceMs_ < 0 || now < aRun.workSinceMs_
           ? aRun.doneBeforeMs_
           : aRun.doneBeforeMs_ + now - aRun.workSinceMs_;
}

std::string
Workers::Saved(const Run& aRun) const
{
  if (aRun.work_.checkpointMs_ == 0) {
    return {};
  }
  const std::int64_t steps = DoneMs(aRun) / aRun.work_.checkpointMs_;
  if (steps == 0) {
    return {};
  }
  const std::int64_t doneMs = steps * aRun.work_.checkpointMs_;
  std::array<char, 24> text{};
  std::snprintf(text.data(),
                text.size(),
                "%016llx",
                static_cast<unsigned long long>(doneMs));
  return text.data();
}

std::optional<HttpResponse>
Workers::Handle(const std::string& aId, const HttpRequest& aRequest)
{
  std::unique_lock lock(mutex_);
  Worker& worker = workers_.at(aId);
  if (isStopping_ || !worker.isUp_) {
    return std::nullopt;
  }
  if (aRequest.path_ == "/health") {
    return HttpResponse{};
  }
  if (const std::string expected = aRequest.Header("X-Expected-Instance");
      !expected.empty() && expected != aId) {
    return HttpResponse{ 421, "{}" };
  }
  const json body = json::parse(aRequest.body_);
  const std::uint64_t fence = body.value("fencingToken", std::uint64_t{ 0 });
  if (fence < worker.fence_) {
    record_.Write("worker " + aId + " rejects fence " + std::to_string(fence) +
                  ": " + aRequest.path_);
    return HttpResponse{
      409, json{ { "clockMs", Clock(worker) }, { "reason", "fence" } }.dump()
    };
  }
  worker.fence_ = fence;
  if (aRequest.path_ == "/api/run-start") {
    return Start(worker, aRequest.body_);
  }
  if (aRequest.path_ == "/api/run-stop") {
    return Stop(worker, aRequest.body_);
  }
  if (aRequest.path_ == "/api/hold") {
    return Hold(lock, aId, aRequest.body_);
  }
  return HttpResponse{ 200, json{ { "clockMs", Clock(worker) } }.dump() };
}

HttpResponse
Workers::Start(Worker& aWorker, const std::string& aBody)
{
  const json body = json::parse(aBody);
  const auto task = body.at("task").get<std::string>();
  const auto number = body.at("run").get<std::uint32_t>();
  const auto deadline = body.at("deadlineMs").get<std::int64_t>();
  const std::string checkpoint = body.value("checkpoint", std::string{});
  const std::string name = "start " + task + " run " + std::to_string(number) +
                           " on " + aWorker.id_ +
                           (checkpoint.empty() ? "" : " from " + checkpoint);
  const auto refuse = [&](const char* aReason) {
    record_.Write(name + ": 409 " + aReason);
    return HttpResponse{
      409, json{ { "clockMs", Clock(aWorker) }, { "reason", aReason } }.dump()
    };
  };
  if (deadline <= Clock(aWorker)) {
    return refuse("late");
  }
  ExtendLease(aWorker, deadline);
  HttpResponse accepted{ 200, json{ { "clockMs", Clock(aWorker) } }.dump() };
  if (const auto known = aWorker.runs_.find(task);
      known != aWorker.runs_.end() && known->second.run_ == number) {
    return accepted;
  }
  if (const auto ended = aWorker.highestEnded_.find(task);
      ended != aWorker.highestEnded_.end() && number <= ended->second) {
    return refuse("old");
  }
  record_.Write(name + ": 200");
  Run run;
  run.run_ = number;
  run.work_ = ParseWork(body.at("specification").get<std::string>());
  run.checkpoint_ = checkpoint;
  run.presentSinceMs_ = record_.NowMs();
  run.doneBeforeMs_ =
    checkpoint.empty() ? 0 : std::stoll(checkpoint, nullptr, 16);
  if (run.work_.gang_ == 0) {
    run.workSinceMs_ =
      run.presentSinceMs_ + (checkpoint.empty() ? 0 : kRestoreMs);
  }
  aWorker.runs_[task] = run;
  allStarts_.push_back(
    { aWorker.id_, task, number, checkpoint, run.presentSinceMs_ });
  return accepted;
}

HttpResponse
Workers::Stop(Worker& aWorker, const std::string& aBody)
{
  const json body = json::parse(aBody);
  const auto task = body.at("task").get<std::string>();
  const auto number = body.at("run").get<std::uint32_t>();
  record_.Write("stop " + task + " run " + std::to_string(number) + " on " +
                aWorker.id_);
  std::uint32_t& highest = aWorker.highestEnded_[task];
  highest = std::max(highest, number);
  if (const auto found = aWorker.runs_.find(task);
      found != aWorker.runs_.end() && found->second.run_ == number &&
      found->second.stopsAtMs_ < 0) {
    found->second.stopsAtMs_ = record_.NowMs() + kStopMs;
  }
  return { 200, json{ { "clockMs", Clock(aWorker) } }.dump() };
}

std::optional<HttpResponse>
Workers::Hold(std::unique_lock<std::mutex>& aLock,
              const std::string& aId,
              const std::string& aBody)
{
  const json body = json::parse(aBody);
  Worker& worker = workers_.at(aId);
  const auto acknowledged = body.value("ackedThrough", std::uint64_t{ 0 });
  while (!worker.ends_.empty() &&
         worker.ends_.front().number_ <= acknowledged) {
    const RunEnd& end = worker.ends_.front();
    record_.Write("end " + end.task_ + " run " + std::to_string(end.run_) +
                  " " + end.how_ + " on " + aId + " is taken note of");
    worker.ends_.pop_front();
  }
  if (body.contains("deadlineMs")) {
    ExtendLease(worker, body["deadlineMs"].get<std::int64_t>());
  }
  const auto wait = std::chrono::milliseconds(
    std::min(kMaxWaitMs, body.value("waitMs", std::int64_t{ 0 })));
  const std::int64_t born = worker.bornMs_;
  changed_.wait_for(aLock, wait, [&] {
    return isStopping_ || !worker.isUp_ || worker.bornMs_ != born ||
           !worker.ends_.empty();
  });
  if (isStopping_ || !worker.isUp_ || worker.bornMs_ != born) {
    return std::nullopt;
  }
  json running = json::array();
  for (const auto& [task, run] : worker.runs_) {
    const std::int64_t percent =
      run.work_.lasts_
        ? (record_.NowMs() - run.presentSinceMs_ >= kStartupMs ? 100 : 0)
        : std::min<std::int64_t>(99, DoneMs(run) * 100 / run.work_.workMs_);
    running.push_back({ task, run.run_, Saved(run), percent, 0 });
  }
  json ended = json::array();
  for (const RunEnd& end : worker.ends_) {
    if (ended.size() < kMaxListedEnds) {
      ended.push_back(
        { end.number_, end.task_, end.run_, end.how_, end.saved_ });
    }
  }
  return HttpResponse{ 200,
                       json{ { "clockMs", Clock(worker) },
                             { "born", worker.bornMs_ },
                             { "running", running },
                             { "ended", ended } }
                         .dump() };
}

void
Workers::End(Worker& aWorker, const std::string& aTask, const std::string& aHow)
{
  const auto found = aWorker.runs_.find(aTask);
  const Run run = found->second;
  const std::string saved = aHow == "done" ? std::string{} : Saved(run);
  const std::int64_t nowMs = record_.NowMs();
  aWorker.runs_.erase(found);
  std::uint32_t& highest = aWorker.highestEnded_[aTask];
  highest = std::max(highest, run.run_);
  const RunEnd end{ ++aWorker.lastEnd_, aTask, run.run_, aHow, saved, nowMs };
  aWorker.ends_.push_back(end);
  allEnds_.push_back(end);
  record_.Write("run " + aTask + " " + std::to_string(run.run_) + " on " +
                aWorker.id_ + " ends " + aHow +
                (saved.empty() ? "" : ", saved " + saved));
  changed_.notify_all();
  if (aHow == "stopped" || aHow == "lapsed") {
    BreakGang(aTask, run);
  }
}

void
Workers::TickLoop()
{
  while (true) {
    {
      const std::lock_guard lock(mutex_);
      if (isStopping_) {
        return;
      }
      TickGangs();
      for (auto& [id, worker] : workers_) {
        Tick(worker);
      }
    }
    std::this_thread::sleep_for(kTick);
  }
}

// Members that carry different checkpoints cannot resume together, so they wait
// like members that are not present.
void
Workers::TickGangs()
{
  struct Gang
  {
    std::vector<Run*> members_;
    std::set<std::string> checkpoints_;
  };
  std::map<std::string, Gang> gangs;
  for (auto& [id, worker] : workers_) {
    for (auto& [task, run] : worker.runs_) {
      if (run.work_.gang_ > 0 && run.workSinceMs_ < 0) {
        Gang& gang = gangs[GangOf(task, run.run_)];
        gang.members_.push_back(&run);
        gang.checkpoints_.insert(run.checkpoint_);
      }
    }
  }
  for (auto& [name, gang] : gangs) {
    if (gang.members_.size() == gang.members_.front()->work_.gang_ &&
        gang.checkpoints_.size() == 1) {
      const bool isResumed = !gang.checkpoints_.begin()->empty();
      for (Run* member : gang.members_) {
        member->workSinceMs_ = record_.NowMs() + (isResumed ? kRestoreMs : 0);
      }
      record_.Write("gang " + name + " works");
    }
  }
}

void
Workers::Tick(Worker& aWorker)
{
  const std::int64_t now = record_.NowMs();
  if (aWorker.entryDropsAtMs_ >= 0 && now >= aWorker.entryDropsAtMs_) {
    aWorker.entryDropsAtMs_ = -1;
    store_.Put("keyed.servers", aWorker.id_, {});
  }
  if (!aWorker.isUp_) {
    return;
  }
  if (now >= aWorker.nextHeartbeatMs_) {
    Register(aWorker);
  }
  std::vector<std::pair<std::string, std::string>> ends;
  for (const auto& [task, run] : aWorker.runs_) {
    if (Clock(aWorker) >= aWorker.leaseEndMs_) {
      ends.emplace_back(task, "lapsed");
    } else if (run.stopsAtMs_ >= 0 && now >= run.stopsAtMs_) {
      ends.emplace_back(task, "stopped");
    } else if (run.work_.gang_ > 0 && run.workSinceMs_ < 0 &&
               now - run.presentSinceMs_ >= kGangTimeoutMs) {
      ends.emplace_back(task, "alone");
    } else if (!run.work_.lasts_ && DoneMs(run) >= run.work_.workMs_) {
      ends.emplace_back(task, "done");
    }
  }
  for (const auto& [task, how] : ends) {
    if (aWorker.runs_.contains(task)) {
      End(aWorker, task, how);
    }
  }
}

} // namespace verbenawell::review
