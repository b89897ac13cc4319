#include "Cluster.h"

#include "FreePort.h"

#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <stdexcept>

#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>
#include <nlohmann/json.hpp>

namespace verbenawell::tests {

namespace {

using nlohmann::json;

constexpr std::size_t kWorkers = 3;
constexpr const char* kHost = "127.0.0.1";

json
Address(const std::string& aHost, std::uint16_t aPort)
{
  return { { "host", aHost }, { "port", aPort } };
}

// Connections of one daemon are told apart from another's by this address.
std::string
PeerHost(std::size_t aIndex)
{
  return "127.0.0." + std::to_string(10 + aIndex);
}

void
Write(const std::string& aPath, const std::string& aText)
{
  std::ofstream{ aPath } << aText;
}

std::string
Get(std::uint16_t aPort, const std::string& aPath)
{
  httplib::Client client{ kHost, aPort };
  client.set_connection_timeout(std::chrono::seconds(1));
  client.set_read_timeout(std::chrono::seconds(1));
  const auto result = client.Get(aPath);
  return result && result->status == 200 ? result->body : "";
}

std::string
MakeFolder()
{
  std::string name =
    (std::filesystem::temp_directory_path() / "verbenawell-XXXXXX").string();
  if (mkdtemp(name.data()) == nullptr) {
    throw std::runtime_error("cannot create \"" + name + "\"");
  }
  return name;
}

} // namespace

bool
WaitFor(const std::function<bool()>& aState, std::chrono::seconds aLimit)
{
  const auto end = std::chrono::steady_clock::now() + aLimit;
  while (!aState()) {
    if (std::chrono::steady_clock::now() > end) {
      return false;
    }
    asio::io_context io;
    asio::steady_timer{ io, std::chrono::milliseconds(20) }.wait();
  }
  return true;
}

Cluster::Cluster()
  : folder_(MakeFolder())
  , logPort_(FreePort())
  , platformPort_(FreePort())
  , daemons_(kDaemons)
{
  for (std::size_t index = 0; index < kWorkers; ++index) {
    workerPorts_.push_back(FreePort());
  }
  for (std::size_t index = 0; index < kDaemons; ++index) {
    ports_.push_back(
      { FreePort(), FreePort(), FreePort(), FreePort(), FreePort() });
  }
  WriteFiles();
  StartStandins();
  for (std::size_t index = 0; index < kDaemons; ++index) {
    StartDaemon(index);
  }
  if (!WaitFor([&] { return AreReady(); })) {
    throw std::runtime_error("daemons are not ready; see " + folder_);
  }
  DefineFleet();
}

Cluster::~Cluster()
{
  daemons_.clear();
  standins_.clear();
  if (std::getenv("VERBENAWELL_KEEP_LOGS") == nullptr) {
    std::filesystem::remove_all(folder_);
  }
}

void
Cluster::WriteFiles()
{
  json vms = json::array();
  for (std::size_t index = 0; index < kWorkers; ++index) {
    const std::string number = std::to_string(index);
    vms.push_back({ { "vm", "w" + number },
                    { "host", kHost },
                    { "port", workerPorts_[index] },
                    { "region", "r" },
                    { "zone", "z" + number },
                    { "rack", "k" + number },
                    { "cores", 8 },
                    { "memoryMb", 1024 },
                    { "accelerators", 0 },
                    { "slots", 2 },
                    { "boots", 0 },
                    { "live", true },
                    { "leaving", false } });
  }
  Write(folder_ + "/vms.json", vms.dump());
  Write(folder_ + "/operators.token", "operators-token");
  Write(folder_ + "/peers.token", "peers-token");
  json seeds = json::array();
  for (const Ports& ports : ports_) {
    seeds.push_back(Address(kHost, ports.proxy_));
  }
  for (std::size_t index = 0; index < kDaemons; ++index) {
    const Ports& ports = ports_[index];
    const std::string name = "d" + std::to_string(index);
    const json settings{
      { "cluster", "test" },
      { "daemon", name },
      { "region", "r" },
      { "zone", "z" + std::to_string(index) },
      { "callers", { { "listen", Address(kHost, ports.callers_) } } },
      { "operators",
        { { "listen", Address(kHost, ports.operators_) },
          { "tokenFile", folder_ + "/operators.token" } } },
      { "peers",
        { { "listen", Address(PeerHost(index), ports.peers_) },
          { "advertise", Address(kHost, ports.proxy_) },
          { "tokenFile", folder_ + "/peers.token" },
          { "seeds", seeds } } },
      { "platform",
        { { "log", Address(kHost, logPort_) },
          { "vmList", Address(kHost, platformPort_) } } }
    };
    Write(folder_ + "/" + name + ".json", settings.dump());
  }
}

std::unique_ptr<standins::ChildProcess>
Cluster::Spawn(const std::string& aProgram,
               std::vector<std::string> aArguments,
               const std::string& aName) const
{
  aArguments.insert(aArguments.begin(),
                    std::string(VERBENAWELL_BUILD_DIR) + "/" + aProgram);
  return std::make_unique<standins::ChildProcess>(
    aArguments, folder_ + "/" + aName + ".log");
}

void
Cluster::StartStandins()
{
  standins_.push_back(Spawn(
    "standins/standin-log", { "--port", std::to_string(logPort_) }, "log"));
  standins_.push_back(Spawn(
    "standins/standin-platform",
    { "--port", std::to_string(platformPort_), "--vms", folder_ + "/vms.json" },
    "platform"));
  for (std::size_t index = 0; index < kDaemons; ++index) {
    const Ports& ports = ports_[index];
    standins_.push_back(Spawn("standins/standin-proxy",
                              { "--port",
                                std::to_string(ports.proxy_),
                                "--to_host",
                                PeerHost(index),
                                "--to_port",
                                std::to_string(ports.peers_),
                                "--control_port",
                                std::to_string(ports.control_) },
                              "proxy" + std::to_string(index)));
  }
}

void
Cluster::StartDaemon(std::size_t aIndex)
{
  const std::string name = "d" + std::to_string(aIndex);
  daemons_.at(aIndex) =
    Spawn("verbenawelld", { "--config", folder_ + "/" + name + ".json" }, name);
}

void
Cluster::Signal(std::size_t aIndex, int aSignal) const
{
  daemons_.at(aIndex)->Signal(aSignal);
}

int
Cluster::End(std::size_t aIndex, int aSignal)
{
  Signal(aIndex, aSignal);
  return daemons_.at(aIndex)->Wait();
}

bool
Cluster::IsReady(std::size_t aIndex) const
{
  return !Get(ports_.at(aIndex).operators_, "/readyz").empty();
}

bool
Cluster::AreReady() const
{
  for (std::size_t index = 0; index < kDaemons; ++index) {
    if (!IsReady(index)) {
      return false;
    }
  }
  return true;
}

std::uint64_t
Cluster::CounterAt(std::size_t aIndex, const std::string& aName) const
{
  const std::string text = Get(ports_.at(aIndex).operators_, "/metrics");
  const std::string start = "verbenawell_" + aName + " ";
  const std::size_t found = text.find(start);
  return found == std::string::npos
           ? 0
           : std::stoull(text.substr(found + start.size()));
}

httplib::Result
Cluster::Ask(std::size_t aIndex, const CallerRequest& aRequest) const
{
  httplib::Client client{ kHost, ports_.at(aIndex).callers_ };
  client.set_read_timeout(std::chrono::seconds(20));
  const httplib::Headers headers{
    { "Verbenawell-Service", "s" },
    { "Verbenawell-Request-Id", aRequest.id_ },
    { "Verbenawell-Idempotent", aRequest.idempotent_ ? "true" : "false" },
    { "Verbenawell-Deadline-Ms", "5000" },
    { "Standin-Run-Ms", std::to_string(aRequest.runTime_.count()) }
  };
  return client.Post("/", headers, "body", "text/plain");
}

bool
Cluster::IsAnswered(std::size_t aIndex) const
{
  const auto result = Ask(aIndex, { "probe" });
  return result && result->status == 200;
}

std::size_t
Cluster::RunsOf(const std::string& aId) const
{
  const json ledger = json::parse(Get(platformPort_, "/ledger"));
  return ledger.at("runs").value(aId, std::size_t{ 0 });
}

std::size_t
Cluster::Running() const
{
  const json ledger = json::parse(Get(platformPort_, "/ledger"));
  std::size_t running = 0;
  for (const auto& [vm, load] : ledger.at("vms").items()) {
    running += load.at("running").get<std::size_t>();
  }
  return running;
}

void
Cluster::SetRule(std::size_t aIndex, const std::string& aQuery) const
{
  httplib::Client client{ kHost, ports_.at(aIndex).control_ };
  const auto result = client.Post("/rule?" + aQuery);
  if (!result || result->status != 200) {
    throw std::runtime_error("rule \"" + aQuery + "\" was not accepted");
  }
}

void
Cluster::Isolate(std::size_t aIndex, bool aIsolated) const
{
  const std::string fault =
    aIsolated ? "fault=silence&from=" : "fault=pass&from=";
  for (std::size_t other = 0; other < kDaemons; ++other) {
    if (other != aIndex) {
      SetRule(aIndex, fault + PeerHost(other));
      SetRule(other, fault + PeerHost(aIndex));
    }
  }
}

Endpoint
Cluster::PeerAddress(std::size_t aIndex) const
{
  return { PeerHost(aIndex), ports_.at(aIndex).peers_ };
}

void
Cluster::Command(const std::string& aText) const
{
  // A VM is in the fleet some time after it is in the list.
  const bool done = WaitFor([&] {
    httplib::Client client{ kHost, ports_.front().operators_ };
    const httplib::Headers headers{ { "Authorization",
                                      "Bearer operators-token" },
                                    { "Verbenawell-Operator", "test" } };
    const auto result = client.Post("/command", headers, aText, "text/plain");
    return result && result->status == 200 &&
           result->body.find("in effect") != std::string::npos;
  });
  if (!done) {
    throw std::runtime_error("command \"" + aText + "\" has no effect");
  }
}

void
Cluster::DefineFleet() const
{
  Command("create pool spare spare");
  Command("create pool p");
  Command("move w0 to p");
  Command("move w1 to p");
  Command("create service s in p budget 1");
  for (std::size_t index = 0; index < kDaemons; ++index) {
    if (!WaitFor([&] { return IsAnswered(index); })) {
      throw std::runtime_error("service \"s\" is not in effect");
    }
  }
}

} // namespace verbenawell::tests
