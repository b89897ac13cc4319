#include "Deployment.h"

#include <array>
#include <cerrno>
#include <csignal>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <stdexcept>
#include <utility>

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <nlohmann/json.hpp>
#include <spawn.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

namespace review {

namespace {

using nlohmann::json;

constexpr std::int64_t kMigrationMs = 1500;
constexpr std::int64_t kTickMs = 10;
constexpr time_t kTimeoutSeconds = 4;
constexpr const char* kHost = "jobs.example";
constexpr const char* kPrefix = "/jobs/";
constexpr std::size_t kMaxProcesses = 16;

/// Processes to end if the scenario is interrupted.
std::array<std::atomic<pid_t>, kMaxProcesses> gProcesses;

void
EndProcesses(int /*aSignal*/)
{
  for (const auto& process : gProcesses) {
    if (const pid_t id = process; id > 0) {
      ::kill(id, SIGKILL);
    }
  }
  ::_exit(2);
}

void
Remember(pid_t aBefore, pid_t aNow)
{
  std::signal(SIGTERM, EndProcesses);
  std::signal(SIGINT, EndProcesses);
  for (auto& process : gProcesses) {
    pid_t expected = aBefore;
    if (process.compare_exchange_strong(expected, aNow)) {
      return;
    }
  }
}

} // namespace

std::vector<int>
FreePorts(std::size_t aCount)
{
  std::vector<int> sockets;
  std::vector<int> ports;
  for (std::size_t index = 0; index < aCount; ++index) {
    const int socket = ::socket(AF_INET, SOCK_STREAM, 0);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    socklen_t size = sizeof(address);
    if (::bind(socket, reinterpret_cast<sockaddr*>(&address), size) != 0) {
      throw std::runtime_error("no free port");
    }
    ::getsockname(socket, reinterpret_cast<sockaddr*>(&address), &size);
    sockets.push_back(socket);
    ports.push_back(ntohs(address.sin_port));
  }
  for (const int socket : sockets) {
    ::close(socket);
  }
  return ports;
}

Cloud::Cloud(Record& aRecord, Ledger& aLedger, Store& aStore)
  : record_(aRecord)
  , ledger_(aLedger)
  , store_(aStore)
{
  server_.Http().Get("/api/machines",
                     [this](const httplib::Request&,
                            httplib::Response& aResponse) { List(aResponse); });
  server_.Http().Post(
    "/api/machine-move",
    [this](const httplib::Request& aRequest, httplib::Response& aResponse) {
      Move(aRequest, aResponse);
    });
  ticker_ = std::thread([this] { Tick(); });
}

Cloud::~Cloud()
{
  Stop();
}

void
Cloud::Stop()
{
  isStopping_ = true;
  if (ticker_.joinable()) {
    ticker_.join();
  }
}

std::string
Cloud::NewWorkerId()
{
  return "i-" + std::to_string(1000 + ++lastWorker_);
}

void
Cloud::AddMachine(const std::string& aMachine,
                  const std::string& aPool,
                  bool aIsStandby)
{
  const std::scoped_lock lock(mutex_);
  Machine& machine = machines_[aMachine];
  machine.pool_ = aPool;
  machine.isStandby_ = aIsStandby;
  if (aIsStandby) {
    standbyPools_.insert(aPool);
  } else {
    machine.worker_ =
      std::make_shared<Worker>(record_, ledger_, store_, NewWorkerId(), aPool);
  }
}

std::vector<std::shared_ptr<Worker>>
Cloud::Workers()
{
  const std::scoped_lock lock(mutex_);
  std::vector<std::shared_ptr<Worker>> workers;
  for (const auto& [id, machine] : machines_) {
    if (machine.worker_) {
      workers.push_back(machine.worker_);
    }
  }
  return workers;
}

void
Cloud::List(httplib::Response& aResponse)
{
  listedMs_ = NowMs();
  const std::scoped_lock lock(mutex_);
  json machines = json::array();
  for (const auto& [id, machine] : machines_) {
    machines.push_back(
      { { "machine", id },
        { "pool", machine.pool_ },
        { "state", machine.state_ },
        { "zone", "zone-1" },
        { "labels", { "a", "r1-1" } },
        { "capacity",
          { { "cpu", 64000 }, { "memoryRequestMb", 262144 }, { "gpu", 0 } } },
        { "identifier",
          machine.worker_ ? json(machine.worker_->Id()) : json(nullptr) } });
  }
  aResponse.set_content(
    json{ { "machines", std::move(machines) }, { "nextPageToken", nullptr } }
      .dump(),
    "application/json");
}

void
Cloud::Move(const httplib::Request& aRequest, httplib::Response& aResponse)
{
  const json body = json::parse(aRequest.body);
  const auto id = body.at("machine").get<std::string>();
  const auto pool = body.at("pool").get<std::string>();
  const std::string holder = aRequest.get_header_value("X-Lease-Holder");
  const std::uint64_t fence =
    std::stoull(aRequest.get_header_value("X-Fencing-Token"));
  const std::scoped_lock lock(mutex_);
  Machine& machine = machines_.at(id);
  ++orders_;
  record_.Write("cloud: order of " + holder + " with token " +
                std::to_string(fence) + " to move " + id + " to " + pool +
                "; the machine is in " + machine.pool_ + ", " + machine.state_);
  if (fence < machine.fence_) {
    ++staleOrders_;
    record_.Write("ONE " + id + ": an order of " + holder + " with token " +
                  std::to_string(fence) + " after one of " + machine.holder_ +
                  " with token " + std::to_string(machine.fence_));
  }
  machine.fence_ = std::max(machine.fence_, fence);
  machine.holder_ = holder;
  aResponse.set_content("{}", "application/json");
  if (machine.pool_ == pool) {
    return;
  }
  if (machine.state_ != "up") {
    aResponse.status = 409;
    aResponse.set_content(R"({"reason":"busy"})", "application/json");
    return;
  }
  if (machine.worker_) {
    machine.worker_->End();
    endedWorkers_.push_back(std::exchange(machine.worker_, nullptr));
  }
  machine.pool_ = pool;
  machine.state_ = "moving";
  machine.isStandby_ = standbyPools_.contains(pool);
  machine.upAtMs_ = NowMs() + kMigrationMs;
}

void
Cloud::Tick()
{
  while (!isStopping_) {
    SleepMs(kTickMs);
    const std::scoped_lock lock(mutex_);
    for (auto& [id, machine] : machines_) {
      if (machine.state_ == "moving" && NowMs() >= machine.upAtMs_) {
        machine.state_ = "up";
        if (!machine.isStandby_) {
          machine.worker_ = std::make_shared<Worker>(
            record_, ledger_, store_, NewWorkerId(), machine.pool_);
        }
      }
    }
  }
}

Entry::Entry(Record& aRecord,
             std::string aName,
             const std::string& aFolder,
             const std::string& aStore,
             const std::string& aCloud)
  : record_(aRecord)
  , name_(std::move(aName))
  , settings_(aFolder + "/" + name_ + ".json")
  , log_(aFolder + "/" + name_ + ".log")
{
  const std::vector<int> ports = FreePorts(4);
  frontend_ = ports[0];
  readiness_ = ports[1];
  const auto address = [](int aPort) {
    return "127.0.0.1:" + std::to_string(aPort);
  };
  json settings{ { "node", name_ },
                 { "role", "entry" },
                 { "machineClass", "frontend" },
                 { "serves", { "frontend" } },
                 { "ipAddress", "127.0.0.1" },
                 { "zone", "zone-1" },
                 { "region", "region-1" },
                 { "zones", { { "zone-1", "region-1" } } },
                 { "listen",
                   { { "frontend", address(ports[0]) },
                     { "readiness", address(ports[1]) },
                     { "control", address(ports[2]) } } },
                 { "internalPortRange", { ports[3], ports[3] } },
                 { "bootstrap", true },
                 { "limits",
                   { { "cpuShare", 0.25 },
                     { "cores", 1 },
                     { "memoryMb", 260 },
                     { "fileDescriptors", 4100 } } },
                 { "discovery", "platform" },
                 { "heartbeatMs", 1500 },
                 { "orders", "call" },
                 { "platform",
                   { { "address", aStore },
                     { "form", "log" },
                     { "writesPerS", 600 },
                     { "readsPerS", 2000 },
                     { "recordBytes", 262144 },
                     { "requestBytes", 2097152 },
                     { "keep_s", 300 },
                     { "partitionMb", 200 } } } };
  if (!aCloud.empty()) {
    settings["cloud"] = { { "address", aCloud },
                          { "ratePerS", 64.0 },
                          { "dutyPerS", 64.0 } };
  }
  std::ofstream(settings_) << settings.dump(2);
}

Entry::~Entry()
{
  if (process_ > 0) {
    ::kill(process_, SIGCONT);
    ::kill(process_, SIGKILL);
    ::waitpid(process_, nullptr, 0);
    Remember(process_, 0);
  }
}

void
Entry::Start()
{
  posix_spawn_file_actions_t actions;
  posix_spawn_file_actions_init(&actions);
  posix_spawn_file_actions_addopen(
    &actions, 1, log_.c_str(), O_CREAT | O_WRONLY | O_APPEND, 0644);
  posix_spawn_file_actions_adddup2(&actions, 1, 2);
  std::string program = "target/verbenawell-entry";
  std::string variable = "VERBENAWELL_SETTINGS=" + settings_;
  std::array<char*, 2> arguments{ program.data(), nullptr };
  std::array<char*, 2> environment{ variable.data(), nullptr };
  if (posix_spawn(&process_,
                  program.c_str(),
                  &actions,
                  nullptr,
                  arguments.data(),
                  environment.data()) != 0) {
    process_ = 0;
  } else {
    Remember(0, process_);
  }
  posix_spawn_file_actions_destroy(&actions);
  record_.Write("started " + name_);
}

void
Entry::Signal(int aSignal)
{
  if (process_ > 0) {
    ::kill(process_, aSignal);
    record_.Write("signal " + std::to_string(aSignal) + " to " + name_);
  }
}

bool
Entry::HasEnded()
{
  if (process_ > 0 && ::waitpid(process_, nullptr, WNOHANG) == process_) {
    Remember(process_, 0);
    process_ = 0;
    record_.Write(name_ + " has ended");
  }
  return process_ <= 0;
}

bool
Entry::IsReady() const
{
  httplib::Client client("127.0.0.1", readiness_);
  client.set_connection_timeout(1);
  client.set_read_timeout(1);
  const auto result = client.Get("/api/readiness");
  return result && result->status == 200;
}

void
WriteConfiguration(Store& aStore, int aMaxAttempts)
{
  const auto service = [](const char* aName, bool aIsStandby) {
    return json{ { "name", aName },         { "healthPath", "/health" },
                 { "connectionLimit", 64 }, { "protocol", "h1" },
                 { "tls", false },          { "enforcesCapacity", false },
                 { "standby", aIsStandby } };
  };
  const json configuration{
    { "version", 3 },
    { "routes",
      { { { "name", "r-jobs" },
          { "host", kHost },
          { "pathPrefix", kPrefix },
          { "kind", "non_idempotent" },
          { "timeoutMs", 3000 },
          { "targetDurationMs", 600 },
          { "priority", 0 },
          { "service", "slots" },
          { "maxAttempts", aMaxAttempts },
          { "stretch", 1.6 } } } },
    { "services", { service("slots", false), service("misc", true) } },
    { "limits",
      { { "maxHeaderBytes", 16384 },
        { "maxBodyBytes", 262144 },
        { "headerTimeoutMs", 3000 },
        { "idleTimeoutMs", 15000 } } }
  };
  aStore.Put("keyed.op", "config", configuration.dump());
}

int
Call(const Entry& aEntry,
     const std::string& aMethod,
     const std::string& aJob,
     const std::string& aBody,
     std::string* aResponse)
{
  httplib::Client client("127.0.0.1", aEntry.Port());
  client.set_connection_timeout(1);
  client.set_read_timeout(kTimeoutSeconds);
  client.set_tcp_nodelay(true);
  httplib::Request request;
  request.method = aMethod;
  request.path = kPrefix + aJob;
  request.headers = { { "Host", kHost },
                      { "X-Deadline-Milliseconds", "3000" } };
  if (!aBody.empty()) {
    request.headers.emplace("Content-Type", "application/json");
    request.body = aBody;
  }
  const auto result = client.send(request);
  if (!result) {
    return 0;
  }
  if (aResponse != nullptr) {
    *aResponse = result->body;
  }
  return result->status;
}

bool
Submit(Record& aRecord,
       const std::vector<std::unique_ptr<Entry>>& aEntries,
       const std::string& aJob,
       const std::string& aBody,
       std::int64_t aTimeMs)
{
  const std::int64_t until = NowMs() + aTimeMs;
  for (std::size_t attempt = 0; NowMs() < until; ++attempt) {
    const Entry& entry = *aEntries[attempt % aEntries.size()];
    const int status = Call(entry, "POST", aJob, aBody);
    aRecord.Write("POST " + aJob + " at " + entry.Name() + " -> " +
                  std::to_string(status));
    if (status >= 200 && status < 300) {
      return true;
    }
    SleepMs(300);
  }
  return false;
}

std::string
StateOf(const std::vector<std::unique_ptr<Entry>>& aEntries,
        const std::string& aJob)
{
  for (const auto& entry : aEntries) {
    std::string body;
    if (Call(*entry, "GET", aJob, {}, &body) == 200) {
      return json::parse(body).value("state", std::string{});
    }
  }
  return {};
}

bool
WaitUntilReady(const Entry& aEntry, std::int64_t aTimeMs)
{
  const std::int64_t until = NowMs() + aTimeMs;
  while (NowMs() < until) {
    if (aEntry.IsReady()) {
      return true;
    }
    SleepMs(50);
  }
  return false;
}

std::string
JobId(std::uint64_t aNumber)
{
  const std::string digits = std::to_string(aNumber);
  return std::string("5c0e7a21d94b0000").substr(0, 16 - digits.size()) + digits;
}

std::string
JobBody(std::int64_t aWorkMs, int aCount, int aCpu, int aMemoryMb)
{
  return json{
    { "specification", "work " + std::to_string(aWorkMs) },
    { "steps",
      { { { "count", aCount },
          { "cpu", aCpu },
          { "memoryRequestMb", aMemoryMb },
          { "estimatedMs", aWorkMs } } } }
  }.dump();
}

bool
HasTrouble()
{
  const char* trouble = std::getenv("TROUBLE");
  return trouble == nullptr || std::string(trouble) != "0";
}

std::string
MakeFolder()
{
  std::string name =
    (std::filesystem::temp_directory_path() / "review-XXXXXX").string();
  return ::mkdtemp(name.data()) == nullptr ? std::string{} : name;
}

void
Finish(Record& aRecord,
       std::vector<std::unique_ptr<Entry>>& aEntries,
       const std::string& aFolder,
       int aResult)
{
  static constexpr std::array kNames{ "held", "broken", "could not run" };
  aEntries.clear();
  if (std::getenv("KEEP_LOGS") == nullptr) {
    std::filesystem::remove_all(aFolder);
  }
  aRecord.Write(std::string("result: ") +
                kNames.at(static_cast<std::size_t>(aResult)));
  // The threads of the stand-ins still run.
  std::_Exit(aResult);
}

} // namespace review
