#include "Deployment.h"

#include <chrono>
#include <csignal>
#include <cstdlib>
#include <fstream>
#include <iostream>
#include <stdexcept>
#include <thread>
#include <utility>

#include <fcntl.h>
#include <nlohmann/json.hpp>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

namespace verbenawell::review {

namespace {

using nlohmann::json;
using namespace std::chrono_literals;

constexpr const char* kHost = "jobs.example";
constexpr auto kCallTimeout = 3s;

} // namespace

void
PutConfiguration(Store& aStore,
                 const std::vector<QueueSettings>& aQueues,
                 const std::vector<std::string>& aServices)
{
  json routes = json::array();
  for (const QueueSettings& queue : aQueues) {
    routes.push_back({ { "name", queue.name_ },
                       { "host", kHost },
                       { "pathPrefix", queue.prefix_ },
                       { "kind", "non_idempotent" },
                       { "timeoutMs", 3000 },
                       { "targetDurationMs", 2500 },
                       { "priority", 0 },
                       { "service", queue.service_ },
                       { "maxAttempts", queue.maxAttempts_ },
                       { "stretch", 2.2 } });
  }
  json services = json::array();
  for (const std::string& service : aServices) {
    services.push_back({ { "name", service },
                         { "healthPath", "/health" },
                         { "connectionLimit", 64 },
                         { "protocol", "h1" },
                         { "tls", false },
                         { "enforcesCapacity", false },
                         { "standby", false } });
  }
  aStore.Put("keyed.op",
             "config",
             json{ { "version", 1 },
                   { "routes", routes },
                   { "services", services },
                   { "limits",
                     { { "maxHeaderBytes", 16384 },
                       { "maxBodyBytes", 262144 },
                       { "headerTimeoutMs", 3000 },
                       { "idleTimeoutMs", 15000 } } } }
               .dump());
}

Entries::Entries(std::string aProgram,
                 std::string aFolder,
                 std::uint16_t aStorePort,
                 std::uint16_t aVmServicePort,
                 Record& aRecord)
  : program_(std::move(aProgram))
  , folder_(std::move(aFolder))
  , storePort_(aStorePort)
  , vmServicePort_(aVmServicePort)
  , record_(aRecord)
  , callerPort_(FreePort("127.0.0.1"))
  , readinessPort_(FreePort("127.0.0.1"))
  , metricsPort_(FreePort("127.0.0.1"))
  , peerPort_(FreePort("127.0.0.1"))
{
}

Entries::~Entries()
{
  for (const auto& [index, entry] : entries_) {
    kill(entry.process_, SIGKILL);
    waitpid(entry.process_, nullptr, 0);
  }
}

std::string
Entries::NodeOf(std::size_t aIndex)
{
  return "frontend-" + std::to_string(aIndex);
}

void
Entries::Start(std::size_t aIndex)
{
  const std::string address = "127.0.77." + std::to_string(aIndex);
  const auto at = [&](std::uint16_t aPort) {
    return address + ":" + std::to_string(aPort);
  };
  const std::string path = folder_ + "/" + NodeOf(aIndex);
  json settings{
    { "node", NodeOf(aIndex) },
    { "role", "entry" },
    { "machineClass", "frontend" },
    { "serves", { "frontend" } },
    { "ipAddress", address },
    { "zone", "zone-a" },
    { "region", "region-a" },
    { "zones", { { "zone-a", "region-a" } } },
    { "listen",
      { { "frontend", at(callerPort_) },
        { "readiness", at(readinessPort_) },
        { "control", at(metricsPort_) } } },
    { "internalPortRange", { peerPort_, peerPort_ + 15 } },
    { "seeds", json::array() },
    { "bootstrap", true },
    { "limits",
      { { "cpuShare", 0.25 },
        { "cores", 1 },
        { "memoryMb", 260 },
        { "fileDescriptors", 4100 },
        { "linkMbps", 1000.0 },
        { "diskMb", 0 } } },
    { "dataDirectory", nullptr },
    { "discovery", "platform" },
    { "entry", "virtual_ip" },
    { "heartbeatMs", 1500 },
    { "orders", "call" },
    { "platform",
      { { "address", "127.0.0.1:" + std::to_string(storePort_) },
        { "form", "log" },
        { "writesPerS", 800 },
        { "readsPerS", 2000 },
        { "parts", 24 },
        { "appendMs", 1.0 },
        { "recordBytes", 262144 },
        { "requestBytes", 2097152 },
        { "keep_s", 300 } } },
    { "cloud",
      { { "address", "127.0.0.1:" + std::to_string(vmServicePort_) },
        { "ratePerS", 64.0 },
        { "duties", json::array() },
        { "dutyPerS", 64.0 } } }
  };
  std::ofstream(path + ".json") << settings.dump(2);
  const pid_t process = fork();
  if (process < 0) {
    throw std::runtime_error("fork failed");
  }
  if (process == 0) {
    // It must not outlive the case, however that ends.
    prctl(PR_SET_PDEATHSIG, SIGKILL);
    const int log = open(
      (path + ".log").c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0600);
    dup2(log, STDOUT_FILENO);
    dup2(log, STDERR_FILENO);
    setenv("VERBENAWELL_SETTINGS", (path + ".json").c_str(), 1);
    execl(program_.c_str(), program_.c_str(), nullptr);
    _exit(127);
  }
  entries_[aIndex] = { address, process };
  record_.Write("process " + NodeOf(aIndex) + " starts");
}

void
Entries::Signal(std::size_t aIndex, int aSignal)
{
  record_.Write("process " + NodeOf(aIndex) + " gets " + strsignal(aSignal));
  kill(entries_.at(aIndex).process_, aSignal);
}

bool
Entries::HasEnded(std::size_t aIndex)
{
  return waitpid(entries_.at(aIndex).process_, nullptr, WNOHANG) != 0;
}

bool
Entries::WaitUntilReady(std::chrono::seconds aTimeout)
{
  const auto end = std::chrono::steady_clock::now() + aTimeout;
  while (std::chrono::steady_clock::now() < end) {
    bool isReady = true;
    for (const auto& [index, entry] : entries_) {
      const auto response = CallHttp(entry.address_,
                                     readinessPort_,
                                     { "GET", "/api/readiness", {}, {}, {} },
                                     1s);
      isReady = isReady && response && response->status_ == 200;
    }
    if (isReady) {
      return true;
    }
    std::this_thread::sleep_for(100ms);
  }
  return false;
}

std::optional<HttpResponse>
Entries::Call(std::size_t aIndex,
              const std::string& aMethod,
              const std::string& aPath,
              const std::string& aBody)
{
  auto response = CallHttp(
    entries_.at(aIndex).address_,
    callerPort_,
    { aMethod,
      aPath,
      {},
      { { "Host", kHost },
        { "Content-Type", "application/json" },
        { "X-Deadline-Milliseconds",
          std::to_string(std::chrono::milliseconds(kCallTimeout).count()) } },
      aBody },
    kCallTimeout);
  record_.Write(aMethod + " " + aPath + " at " + NodeOf(aIndex) +
                (aBody.empty() ? "" : " " + aBody) + ": " +
                (response
                   ? std::to_string(response->status_) + " " + response->body_
                   : "no response"));
  return response;
}

bool
Entries::Submit(const std::string& aPath, const std::string& aBody)
{
  for (int attempt = 0; attempt < 10; ++attempt) {
    for (const auto& [index, entry] : entries_) {
      const auto response = Call(index, "POST", aPath, aBody);
      if (response && response->status_ == 200) {
        return true;
      }
    }
    std::this_thread::sleep_for(1s);
  }
  return false;
}

std::string
Entries::StateOf(const std::string& aPath)
{
  for (const auto& [index, entry] : entries_) {
    const auto response = Call(index, "GET", aPath);
    if (response && response->status_ == 200) {
      return json::parse(response->body_).value("state", std::string{});
    }
    if (response && response->status_ == 410) {
      return "unknown";
    }
  }
  return {};
}

int
RunCase(int aCount,
        char** aArguments,
        const std::function<bool(const std::string& aProgram,
                                 const std::string& aFolder,
                                 bool aHasTrouble,
                                 Record& aRecord)>& aCase)
{
  if (aCount != 4) {
    std::cerr << "usage: scenario PROGRAM FOLDER RECORD\n";
    return 2;
  }
  const char* trouble = std::getenv("TROUBLE");
  const bool hasTrouble = trouble == nullptr || std::string(trouble) != "0";
  try {
    Record record(aArguments[3]);
    record.Write(hasTrouble ? "with the disruption" : "without the disruption");
    const bool isHeld = aCase(aArguments[1], aArguments[2], hasTrouble, record);
    record.Write(isHeld ? "the rule held" : "the rule is broken");
    return isHeld ? 0 : 1;
  } catch (const std::exception& error) {
    std::cerr << "the case could not run: " << error.what() << '\n';
    return 2;
  }
}

} // namespace verbenawell::review
