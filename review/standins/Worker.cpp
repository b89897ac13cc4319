#include "Worker.h"

#include <algorithm>
#include <utility>

namespace review {

namespace {

using nlohmann::json;

constexpr std::int64_t kLinkMs = 1;
constexpr std::int64_t kTickMs = 2;
constexpr std::int64_t kBeatMs = 1500;
constexpr std::int64_t kStopMs = 50;
constexpr std::int64_t kDroppedAfterMs = 200;
constexpr std::int64_t kMaxHoldMs = 10'000;
constexpr std::size_t kMaxListedEnds = 500;
constexpr int kCpu = 64'000;
constexpr int kMemoryMb = 262'144;

std::int64_t
UnixMs()
{
  return std::chrono::duration_cast<std::chrono::milliseconds>(
           std::chrono::system_clock::now().time_since_epoch())
    .count();
}

std::int64_t
WorkOf(const std::string& aSpecification)
{
  const std::size_t space = aSpecification.find(' ');
  return space == std::string::npos
           ? 0
           : std::stoll(aSpecification.substr(space + 1));
}

} // namespace

Worker::Worker(Record& aRecord,
               Ledger& aLedger,
               Store& aStore,
               std::string aId,
               std::string aService,
               std::string aAddress)
  : record_(aRecord)
  , ledger_(aLedger)
  , store_(aStore)
  , id_(std::move(aId))
  , service_(std::move(aService))
  , address_(std::move(aAddress))
  , bornMs_(UnixMs())
  , startMs_(NowMs())
{
  const auto handle =
    [this](void (Worker::*aHandler)(const json&, httplib::Response&)) {
      return [this, aHandler](const httplib::Request& aRequest,
                              httplib::Response& aResponse) {
        SleepMs(kLinkMs);
        const json body = json::parse(aRequest.body);
        if (Enter(aRequest, body, aResponse)) {
          (this->*aHandler)(body, aResponse);
        }
      };
    };
  server_.Http().Post("/api/run-start", handle(&Worker::Start));
  server_.Http().Post("/api/run-stop", handle(&Worker::StopRun));
  server_.Http().Post("/api/hold", handle(&Worker::Hold));
  server_.Run();
  Register(false);
  record_.Write("worker " + id_ + " of " + service_ + " is up");
  ticker_ = std::thread([this] { Tick(); });
}

Worker::~Worker()
{
  isEnded_ = true;
  changed_.notify_all();
  ticker_.join();
}

std::int64_t
Worker::Clock() const
{
  return NowMs() - startMs_;
}

void
Worker::Register(bool aIsGone)
{
  const json entry{
    { "service", service_ },
    { "address", address_.empty() ? server_.Address() : address_ },
    { "zone", "zone-1" },
    { "version", "v1" },
    { "slots", 8 },
    { "state", "ready" },
    { "coldRemainingMs", 0 },
    { "capacity",
      { { "cpu", kCpu }, { "memoryRequestMb", kMemoryMb }, { "gpu", 0 } } },
    { "labels", { "a", "r1-1" } },
    { "clockMs", Clock() },
    { "born", bornMs_ },
    { "sequence", ++sequence_ }
  };
  store_.Put("keyed.servers", id_, aIsGone ? std::string{} : entry.dump());
}

void
Worker::Tick()
{
  std::int64_t beatAt = NowMs() + kBeatMs;
  while (!isEnded_) {
    SleepMs(kTickMs);
    if (NowMs() >= beatAt) {
      Register(false);
      beatAt += kBeatMs;
    }
    const std::scoped_lock lock(mutex_);
    std::vector<std::pair<std::string, std::string>> ends;
    for (const auto& [task, run] : running_) {
      if (Clock() >= leaseEnd_) {
        ends.emplace_back(task, "lapsed");
      } else if (run.stopsMs_ >= 0 && NowMs() >= run.stopsMs_) {
        ends.emplace_back(task, "stopped");
      } else if (NowMs() - run.startedMs_ >= run.workMs_) {
        ends.emplace_back(task, "done");
      }
    }
    for (const auto& [task, how] : ends) {
      EndRun(task, how);
    }
    if (Clock() >= leaseEnd_) {
      for (EndedRun& end : ended_) {
        end.isLapsed_ = true;
      }
    }
  }
}

void
Worker::EndRun(const std::string& aTask, const std::string& aHow)
{
  const auto found = running_.find(aTask);
  const std::uint32_t number = found->second.number_;
  running_.erase(found);
  highestEnded_[aTask] = std::max(highestEnded_[aTask], number);
  ended_.push_back({ ++lastEnd_, aTask, number, aHow });
  ledger_.End(aTask, id_, number, aHow);
  changed_.notify_all();
}

std::size_t
Worker::Running()
{
  const std::scoped_lock lock(mutex_);
  return running_.size();
}

std::uint64_t
Worker::Fence()
{
  const std::scoped_lock lock(mutex_);
  return fence_;
}

void
Worker::End(bool aHasCrashed)
{
  isEnded_ = true;
  if (!aHasCrashed) {
    Register(true);
  }
  const std::scoped_lock lock(mutex_);
  while (!running_.empty()) {
    const std::string task = running_.begin()->first;
    ledger_.End(
      task, id_, running_.begin()->second.number_, "worker has ended");
    running_.erase(running_.begin());
  }
  changed_.notify_all();
  record_.Write("worker " + id_ + " of " + service_ + " has ended");
}

void
Worker::Answer(httplib::Response& aResponse, int aStatus, json aBody) const
{
  aBody["clockMs"] = Clock();
  aBody["born"] = bornMs_;
  aResponse.status = aStatus;
  aResponse.set_content(aBody.dump(), "application/json");
}

// Checks the intended life and the fencing token.
bool
Worker::Enter(const httplib::Request& aRequest,
              const json& aBody,
              httplib::Response& aResponse)
{
  const std::uint64_t token = aBody.value("fencingToken", std::uint64_t{ 0 });
  const std::int64_t arrivedMs = NowMs();
  while ((isCutOff_ || (token != 0 && token == heldToken_)) && !isEnded_) {
    SleepMs(kTickMs);
  }
  if (NowMs() - arrivedMs > kDroppedAfterMs) {
    // The caller has closed the connection; what the cut held up is lost.
    aResponse.status = 503;
    return false;
  }
  if (isEnded_ || aRequest.get_header_value("X-Expected-Instance") != id_) {
    aResponse.status = 421;
    return false;
  }
  const std::scoped_lock lock(mutex_);
  if (token < fence_) {
    Answer(aResponse, 409, { { "reason", "fence" } });
    return false;
  }
  fence_ = token;
  return true;
}

void
Worker::Start(const json& aBody, httplib::Response& aResponse)
{
  const auto task = aBody.at("task").get<std::string>();
  const auto number = aBody.at("run").get<std::uint32_t>();
  const auto deadline = aBody.at("deadlineMs").get<std::int64_t>();
  const std::scoped_lock lock(mutex_);
  if (const auto run = running_.find(task);
      run != running_.end() && run->second.number_ == number) {
    Answer(aResponse, 200, json::object());
    return;
  }
  if (const auto ended = highestEnded_.find(task);
      running_.contains(task) ||
      (ended != highestEnded_.end() && number <= ended->second)) {
    Answer(aResponse, 409, { { "reason", "old" } });
    return;
  }
  if (deadline <= Clock()) {
    Answer(aResponse, 409, { { "reason", "late" } });
    return;
  }
  leaseEnd_ = std::max(leaseEnd_, std::min(deadline, Clock() + kMaxHoldMs));
  running_[task] = {
    number, NowMs(), WorkOf(aBody.at("specification").get<std::string>()), -1
  };
  ledger_.Start(task, id_, number);
  Answer(aResponse, 200, json::object());
}

void
Worker::StopRun(const json& aBody, httplib::Response& aResponse)
{
  const auto task = aBody.at("task").get<std::string>();
  const auto number = aBody.at("run").get<std::uint32_t>();
  const std::scoped_lock lock(mutex_);
  highestEnded_[task] = std::max(highestEnded_[task], number);
  if (const auto run = running_.find(task); run != running_.end() &&
                                            run->second.number_ <= number &&
                                            run->second.stopsMs_ < 0) {
    run->second.stopsMs_ = NowMs() + kStopMs;
  }
  Answer(aResponse, 200, json::object());
}

void
Worker::Hold(const json& aBody, httplib::Response& aResponse)
{
  const auto acked = aBody.value("ackedThrough", std::uint64_t{ 0 });
  const auto waitMs = aBody.value("waitMs", std::int64_t{ 0 });
  std::unique_lock lock(mutex_);
  while (!ended_.empty() && ended_.front().number_ <= acked) {
    if (!ended_.front().isLapsed_) {
      ledger_.Acknowledge(ended_.front().task_, id_, ended_.front().run_);
    }
    ended_.pop_front();
  }
  if (aBody.contains("deadlineMs")) {
    leaseEnd_ = std::max(leaseEnd_,
                         std::min(aBody.at("deadlineMs").get<std::int64_t>(),
                                  Clock() + kMaxHoldMs));
  }
  changed_.wait_for(lock, std::chrono::milliseconds(waitMs), [&] {
    return !ended_.empty() || isEnded_;
  });
  json body{ { "running", json::array() }, { "ended", json::array() } };
  for (const auto& [task, run] : running_) {
    const std::int64_t percent =
      run.workMs_ > 0 ? 100 * (NowMs() - run.startedMs_) / run.workMs_ : 100;
    body["running"].push_back(
      { task, run.number_, "", std::min<std::int64_t>(percent, 100), 0 });
  }
  for (const EndedRun& end : ended_) {
    if (body["ended"].size() >= kMaxListedEnds) {
      break;
    }
    body["ended"].push_back({ end.number_, end.task_, end.run_, end.how_, "" });
  }
  Answer(aResponse, 200, std::move(body));
}

} // namespace review
