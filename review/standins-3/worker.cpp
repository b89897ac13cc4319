// A worker of the users' platform for the cases of this review. One process is
// one life of a worker: a kill is a crash.

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <cstdlib>
#include <fstream>
#include <iostream>
#include <map>
#include <mutex>
#include <optional>
#include <sstream>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include <gflags/gflags.h>
#include <httplib.h>
#include <nlohmann/json.hpp>

DEFINE_int32(port, 0, "port to listen on");
DEFINE_int32(machine_port, 0, "port of the platform to which pings go");
DEFINE_string(id, "", "identifier of this life");
DEFINE_string(machine, "", "machine of the worker");
DEFINE_string(service, "", "service of the worker");
DEFINE_string(kind, "a", "kind of the machine");
DEFINE_string(rack, "r1", "rack of the machine");
DEFINE_int32(cpu, 4000, "capacity in thousandths of a core");
DEFINE_string(record, "", "file to which starts and ends are appended");

namespace {

using namespace std::chrono_literals;
using Clock = std::chrono::steady_clock;
using httplib::Request;
using httplib::Response;
using nlohmann::json;

constexpr int kThreads = 48;
constexpr std::size_t kMaxListedEnds = 500;
// What the bounds of the settings call `maxHoldMs` and `stopMs`, and the time
// after which a lasting work item is at work.
constexpr std::int64_t kMaxHoldMs = 10'000;
constexpr std::int64_t kStopMs = 300;
constexpr std::int64_t kStartupMs = 900;
constexpr std::int64_t kFailureMs = 100;
constexpr int kTickMs = 10;
constexpr int kEarlyItems = 6;

std::int64_t
WallMs()
{
  return std::chrono::duration_cast<std::chrono::milliseconds>(
           std::chrono::system_clock::now().time_since_epoch())
    .count();
}

struct Run
{
  std::int64_t number_ = 0;
  std::int64_t startedMs_ = 0;
  /// When the run ends by itself; empty for work that lasts.
  std::optional<std::int64_t> endsMs_;
  std::optional<std::int64_t> stopsMs_;
  /// Its checkpoint, from the first second of work on.
  std::string saved_;
};

class Worker
{
public:
  json Start(const json& aBody)
  {
    const std::scoped_lock lock(mutex_);
    const auto task = aBody.at("task").get<std::string>();
    const auto number = aBody.at("run").get<std::int64_t>();
    const auto deadline = aBody.at("deadlineMs").get<std::int64_t>();
    if (!Accepts(aBody)) {
      return Refusal("fence");
    }
    const auto known = runs_.find(task);
    if (known != runs_.end() && known->second.number_ == number) {
      Extend(deadline);
      return Answer();
    }
    const auto highest = highest_.find(task);
    if (highest != highest_.end() && number <= highest->second) {
      Extend(deadline);
      return Refusal("old");
    }
    if (deadline <= Now()) {
      return Refusal("late");
    }
    Extend(deadline);
    Run run{ number, Now(), std::nullopt, std::nullopt, {} };
    Plan(task, aBody.at("specification").get<std::string>(), run);
    if (known != runs_.end()) {
      End(task, "stopped");
    }
    runs_.insert_or_assign(task, run);
    Record("start", task, number, aBody.at("fencingToken"));
    return Answer();
  }

  json Stop(const json& aBody)
  {
    const std::scoped_lock lock(mutex_);
    if (!Accepts(aBody)) {
      return Refusal("fence");
    }
    const auto task = aBody.at("task").get<std::string>();
    const auto number = aBody.at("run").get<std::int64_t>();
    auto& highest = highest_[task];
    highest = std::max(highest, number);
    if (const auto run = runs_.find(task); run != runs_.end() &&
                                           run->second.number_ <= number &&
                                           !run->second.stopsMs_) {
      run->second.stopsMs_ = Now() + kStopMs;
      Record("stop", task, run->second.number_, aBody.at("fencingToken"));
    }
    return Answer();
  }

  json Hold(const json& aBody)
  {
    std::unique_lock lock(mutex_);
    if (!Accepts(aBody)) {
      return Refusal("fence");
    }
    if (aBody.contains("deadlineMs")) {
      Extend(aBody.at("deadlineMs").get<std::int64_t>());
    }
    const auto acknowledged = aBody.value("ackedThrough", std::int64_t{ 0 });
    std::erase_if(ended_, [&](const json& aEnd) {
      const bool isNoted = aEnd.at(0).get<std::int64_t>() <= acknowledged;
      if (isNoted) {
        Record("noted", aEnd.at(1), aEnd.at(2), 0);
      }
      return isNoted;
    });
    const auto until = Now() + aBody.value("waitMs", 0);
    while (ended_.empty() && Now() < until) {
      lock.unlock();
      std::this_thread::sleep_for(std::chrono::milliseconds(kTickMs));
      lock.lock();
    }
    json answer = Answer();
    answer["running"] = json::array();
    for (const auto& [task, run] : runs_) {
      const bool isAtWork = Now() - run.startedMs_ >= kStartupMs;
      answer["running"].push_back({ task,
                                    run.number_,
                                    isAtWork ? run.saved_ : "",
                                    isAtWork ? 100 : 50,
                                    0 });
    }
    answer["ended"] = json::array();
    for (const json& end : ended_) {
      if (answer["ended"].size() < kMaxListedEnds) {
        answer["ended"].push_back(end);
      }
    }
    return answer;
  }

  void SetFailing(bool aFails)
  {
    const std::scoped_lock lock(mutex_);
    isFailing_ = aFails;
  }

  void Tick()
  {
    const std::scoped_lock lock(mutex_);
    std::vector<std::pair<std::string, std::string>> ends;
    for (const auto& [task, run] : runs_) {
      if (Now() >= deadline_) {
        ends.emplace_back(task, "lapsed");
      } else if (run.stopsMs_ && Now() >= *run.stopsMs_) {
        ends.emplace_back(task, "stopped");
      } else if (isFailing_ && Now() - run.startedMs_ >= kFailureMs) {
        ends.emplace_back(task, "failed");
      } else if (run.endsMs_ && Now() >= *run.endsMs_) {
        ends.emplace_back(task, "done");
      }
    }
    for (const auto& [task, how] : ends) {
      End(task, how);
    }
  }

  json Ping()
  {
    const json entry{
      { "service", FLAGS_service },
      { "address", "127.0.0.1:" + std::to_string(FLAGS_port) },
      { "zone", "z1" },
      { "version", "v1" },
      { "slots", 8 },
      { "state", "ready" },
      { "coldRemainingMs", 0 },
      { "capacity",
        { { "cpu", FLAGS_cpu }, { "memoryRequestMb", 16'384 }, { "gpu", 0 } } },
      { "labels", { FLAGS_kind, FLAGS_rack } },
      { "born", bornMs_ }
    };
    return { { "machine", FLAGS_machine },
             { "identifier", FLAGS_id },
             { "entry", entry } };
  }

private:
  [[nodiscard]] std::int64_t Now() const
  {
    return 1 + std::chrono::duration_cast<std::chrono::milliseconds>(
                 Clock::now() - begin_)
                 .count();
  }

  // The specification is "lasts", or the time of a work item in milliseconds;
  // after it may stand the time of the work items from index 6 on, and the
  // length of a checkpoint.
  void Plan(const std::string& aTask, const std::string& aText, Run& aRun) const
  {
    if (aText == "lasts") {
      return;
    }
    std::istringstream text(aText);
    std::int64_t time = 0;
    std::int64_t laterTime = 0;
    std::size_t savedBytes = 0;
    text >> time;
    if (text >> laterTime >> savedBytes &&
        std::stoi(aTask.substr(aTask.rfind('.') + 1)) >= kEarlyItems) {
      time = laterTime;
    }
    aRun.endsMs_ = Now() + time;
    aRun.saved_ = std::string(savedBytes, 's');
  }

  bool Accepts(const json& aBody)
  {
    const auto token = aBody.value("fencingToken", std::int64_t{ 0 });
    if (token < token_) {
      return false;
    }
    token_ = token;
    return true;
  }

  void Extend(std::int64_t aDeadline)
  {
    deadline_ = std::max(deadline_, std::min(aDeadline, Now() + kMaxHoldMs));
  }

  [[nodiscard]] json Answer() const
  {
    return { { "clockMs", Now() }, { "born", bornMs_ } };
  }

  [[nodiscard]] json Refusal(const char* aReason) const
  {
    json answer = Answer();
    answer["reason"] = aReason;
    return answer;
  }

  void End(const std::string& aTask, const std::string& aHow)
  {
    const auto run = runs_.find(aTask);
    const std::int64_t number = run->second.number_;
    auto& highest = highest_[aTask];
    highest = std::max(highest, number);
    ended_.push_back({ ++lastEnd_, aTask, number, aHow, "" });
    runs_.erase(run);
    Record("end " + aHow, aTask, number, 0);
  }

  static void Record(const std::string& aWhat,
                     const std::string& aTask,
                     std::int64_t aRun,
                     std::int64_t aToken)
  {
    std::ofstream record(FLAGS_record, std::ios::app);
    std::string line = std::to_string(WallMs()) + " worker " + FLAGS_id + ' ' +
                       aWhat + ' ' + aTask + " run " + std::to_string(aRun);
    if (aToken != 0) {
      line += " token " + std::to_string(aToken);
    }
    record << line + '\n';
  }

  std::mutex mutex_;
  Clock::time_point begin_ = Clock::now();
  std::int64_t bornMs_ = WallMs();
  std::int64_t token_ = 0;
  std::int64_t deadline_ = 0;
  std::int64_t lastEnd_ = 0;
  std::map<std::string, Run> runs_;
  /// The highest run of a work item that was stopped or has ended here.
  std::map<std::string, std::int64_t> highest_;
  std::vector<json> ended_;
  bool isFailing_ = false;
};

using Call = json (Worker::*)(const json&);

void
Serve(httplib::Server& aServer, Worker& aWorker)
{
  aServer.new_task_queue = [] { return new httplib::ThreadPool(kThreads); };
  aServer.set_keep_alive_max_count(1'000'000'000);
  aServer.set_keep_alive_timeout(600);
  aServer.set_tcp_nodelay(true);
  const auto handle = [&](Call aCall) {
    return [&aWorker, aCall](const Request& aRequest, Response& aResponse) {
      if (aRequest.get_header_value("X-Expected-Instance") != FLAGS_id) {
        aResponse.status = 421;
        return;
      }
      const json answer = (aWorker.*aCall)(json::parse(aRequest.body));
      aResponse.status = answer.contains("reason") ? 409 : 200;
      aResponse.set_content(answer.dump(), "application/json");
    };
  };
  aServer.Post("/api/run-start", handle(&Worker::Start));
  aServer.Post("/api/run-stop", handle(&Worker::Stop));
  aServer.Post("/api/hold", handle(&Worker::Hold));
  aServer.Post("/standin/failing", [&](const Request& aRequest, Response&) {
    aWorker.SetFailing(aRequest.get_param_value("on") == "yes");
  });
  aServer.Get("/health", [](const Request&, Response& aResponse) {
    aResponse.set_header("X-Instance-Id", FLAGS_id);
  });
}

} // namespace

int
main(int aCount, char** aArguments)
{
  gflags::ParseCommandLineFlags(&aCount, &aArguments, true);
  Worker worker;
  std::thread([&] {
    for (;;) {
      std::this_thread::sleep_for(std::chrono::milliseconds(kTickMs));
      worker.Tick();
    }
  }).detach();
  std::thread([&] {
    for (;;) {
      httplib::Client platform("127.0.0.1", FLAGS_machine_port);
      platform.Post("/standin/ping", worker.Ping().dump(), "application/json");
      std::this_thread::sleep_for(1s);
    }
  }).detach();
  httplib::Server server;
  Serve(server, worker);
  if (!server.listen("127.0.0.1", FLAGS_port)) {
    std::cerr << "cannot listen on port " << FLAGS_port << '\n';
    return 1;
  }
  return 0;
}
