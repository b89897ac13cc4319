#include "Cluster.h"

#include "verbenawell/codec/OperatorCodec.h"
#include "verbenawell/core/Overloaded.h"

#include "ClusterAddresses.h"

#include <csignal>
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

std::string
Get(const std::string& aHost, std::uint16_t aPort, const std::string& aPath)
{
  httplib::Client client{ aHost, aPort };
  client.set_connection_timeout(std::chrono::seconds(1));
  client.set_read_timeout(std::chrono::seconds(1));
  const auto result = client.Get(aPath);
  return result && result->status == 200 ? result->body : "";
}

void
Post(const std::string& aHost, std::uint16_t aPort, const std::string& aPath)
{
  httplib::Client client{ aHost, aPort };
  const auto result = client.Post(aPath);
  if (!result || result->status != 200) {
    throw std::runtime_error("POST \"" + aPath + "\" failed");
  }
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

httplib::Headers
MakeHeaders(const CallerRequest& aRequest)
{
  httplib::Headers headers{
    { "Verbenawell-Service", "s" },
    { "Verbenawell-Request-Id", aRequest.id_ },
    { "Verbenawell-Idempotent", aRequest.idempotent_ ? "true" : "false" },
    { "Verbenawell-Deadline-Ms", std::to_string(aRequest.deadline_.count()) },
    { "Standin-Run-Ms", std::to_string(aRequest.runTime_.count()) }
  };
  if (aRequest.memoryMb_ > 0) {
    headers.emplace("Verbenawell-Memory-Mb",
                    std::to_string(aRequest.memoryMb_));
  }
  if (aRequest.isChunked_) {
    headers.emplace("Standin-Chunked", "true");
  }
  return headers;
}

bool
WaitFor(const std::function<bool()>& aCondition, std::chrono::seconds aTimeout)
{
  const auto end = std::chrono::steady_clock::now() + aTimeout;
  while (!aCondition()) {
    if (std::chrono::steady_clock::now() > end) {
      return false;
    }
    asio::io_context io;
    asio::steady_timer{ io, std::chrono::milliseconds(20) }.wait();
  }
  return true;
}

Cluster::Cluster(const ClusterOptions& aOptions)
  : options_(aOptions)
  , folder_(MakeFolder())
  , daemons_(kDaemons)
{
  for (std::size_t index = 0; index < kDaemons; ++index) {
    const std::size_t first = kFirstDaemonPort + kPortsPerDaemon * index;
    ports_.push_back({ range_.At(first),
                       range_.At(first + 1),
                       range_.At(first + 2),
                       range_.At(first + 3),
                       range_.At(first + 4) });
  }
  // Tests write to connections that the other side may have closed.
  std::signal(SIGPIPE, SIG_IGN);
  WriteFiles();
  StartStandins();
  for (std::size_t index = 0; index < kDaemons; ++index) {
    StartDaemon(index);
  }
  if (!WaitFor([&] { return AreReady(); })) {
    throw std::runtime_error(DescribeUnreadyDaemons());
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
  return !Get(kHost, ports_.at(aIndex).operators_, "/readyz").empty();
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

std::string
Cluster::DescribeUnreadyDaemons() const
{
  std::string text = "not ready:";
  for (std::size_t index = 0; index < kDaemons; ++index) {
    if (!IsReady(index)) {
      const std::string name = "d" + std::to_string(index);
      std::ifstream log{ folder_ + "/" + name + ".log" };
      text += "\n" + name + ":\n" +
              std::string{ std::istreambuf_iterator<char>{ log }, {} };
    }
  }
  return text;
}

std::string
Cluster::ReadMetrics(std::size_t aIndex) const
{
  return Get(kHost, ports_.at(aIndex).operators_, "/metrics");
}

std::uint64_t
Cluster::ReadCounter(std::size_t aIndex, const std::string& aName) const
{
  const std::string text = ReadMetrics(aIndex);
  const std::string start = "verbenawell_" + aName + " ";
  const std::size_t found = text.find(start);
  return found == std::string::npos
           ? 0
           : std::stoull(text.substr(found + start.size()));
}

httplib::Result
Cluster::SendRequest(std::size_t aIndex, const CallerRequest& aRequest) const
{
  httplib::Client client{ kHost, ports_.at(aIndex).callers_ };
  client.set_read_timeout(std::chrono::seconds(20));
  return client.Post("/", MakeHeaders(aRequest), aRequest.body_, "text/plain");
}

bool
Cluster::ServesCallers(std::size_t aIndex) const
{
  const auto result = SendRequest(aIndex, { "probe" });
  return result && result->status == 200;
}

std::size_t
Cluster::CountRuns(const std::string& aId) const
{
  const json ledger = json::parse(GetFromPlatform("/ledger"));
  return ledger.at("runs").value(aId, std::size_t{ 0 });
}

WorkerLoad
Cluster::ReadLoad(const std::string& aVm) const
{
  const json ledger =
    json::parse(Get(PlatformHost(), range_.At(kVmListPort), "/ledger"));
  const json load = ledger.at("vms").value(aVm, json::object());
  return { load.value("running", std::size_t{ 0 }),
           load.value("started", std::size_t{ 0 }),
           load.value("cut", std::size_t{ 0 }) };
}

std::size_t
Cluster::CountRunningRequests() const
{
  const json ledger = json::parse(GetFromPlatform("/ledger"));
  std::size_t running = 0;
  for (const auto& [vm, load] : ledger.at("vms").items()) {
    running += load.at("running").get<std::size_t>();
  }
  return running;
}

std::string
Cluster::GetFromLog(const std::string& aPath) const
{
  return Get(PlatformHost(), range_.At(kLogPort), aPath);
}

std::string
Cluster::GetFromPlatform(const std::string& aPath) const
{
  return Get(PlatformHost(), range_.At(kVmListPort), aPath);
}

std::string
Cluster::PlatformHost() const
{
  return options_.isPlatformProxied_ ? kProxiedHost : kHost;
}

std::uint16_t
Cluster::ControlPort(const ProxiedServer& aServer) const
{
  return std::visit(
    Overloaded{
      [&](const ToDaemon& aTo) { return ports_.at(aTo.index_).control_; },
      [&](const ToLog&) { return range_.At(kControlPortOffset + kLogPort); },
      [&](const ToVmList&) {
        return range_.At(kControlPortOffset + kVmListPort);
      },
      [&](const ToWorker& aTo) {
        return range_.At(kControlPortOffset + kFirstWorkerPort + aTo.index_);
      } },
    aServer);
}

void
Cluster::SetRule(const ProxiedServer& aServer, const std::string& aQuery) const
{
  Post(kHost, ControlPort(aServer), "/rule?" + aQuery);
}

void
Cluster::PostToLog(const std::string& aPath) const
{
  Post(PlatformHost(), range_.At(kLogPort), aPath);
}

void
Cluster::PostToPlatform(const std::string& aPath) const
{
  Post(PlatformHost(), range_.At(kVmListPort), aPath);
}

void
Cluster::Isolate(std::size_t aIndex, bool aIsIsolated) const
{
  const std::string fault =
    aIsIsolated ? "fault=silence&from=" : "fault=pass&from=";
  for (std::size_t other = 0; other < kDaemons; ++other) {
    if (other != aIndex) {
      SetRule(ToDaemon{ aIndex }, fault + PeerHost(other));
      SetRule(ToDaemon{ other }, fault + PeerHost(aIndex));
    }
  }
}

Endpoint
Cluster::PeerAddress(std::size_t aIndex) const
{
  return { PeerHost(aIndex), ports_.at(aIndex).peers_ };
}

httplib::Result
Cluster::SendCommand(std::size_t aIndex,
                     const std::string& aText,
                     const std::string& aConfirmation) const
{
  httplib::Client client{ kHost, ports_.at(aIndex).operators_ };
  client.set_read_timeout(std::chrono::seconds(20));
  const httplib::Headers headers{ { "Authorization", "Bearer operators-token" },
                                  { "Verbenawell-Operator", "test" },
                                  { "Verbenawell-Confirmation",
                                    aConfirmation } };
  return client.Post("/command", headers, aText, "text/plain");
}

void
Cluster::ApplyCommand(const std::string& aText) const
{
  // Repeats the command: a VM enters the fleet state some time after it appears
  // in the VM list.
  std::string confirmation;
  std::string given;
  const bool done = WaitFor([&] {
    const auto result = SendCommand(0, aText, confirmation);
    given = result ? result->body : httplib::to_string(result.error());
    if (!result || result->status != 200) {
      return false;
    }
    const OperatorResponse response = DecodeOperatorResponse(result->body);
    confirmation = response.confirmation_;
    return response.status_ == CommandStatus::Done;
  });
  if (!done) {
    throw std::runtime_error("command \"" + aText +
                             "\" has had no effect: " + given);
  }
}

void
Cluster::DefineFleet() const
{
  ApplyCommand("create pool spare spare");
  ApplyCommand("create pool p");
  for (std::size_t index = 0; index + 1 < options_.workers_; ++index) {
    ApplyCommand("move w" + std::to_string(index) + " to p");
  }
  ApplyCommand("create service s in p budget " +
               std::to_string(options_.budget_));
  for (std::size_t index = 0; index < kDaemons; ++index) {
    if (!WaitFor([&] { return ServesCallers(index); })) {
      throw std::runtime_error("service \"s\" is not in effect");
    }
  }
}

} // namespace verbenawell::tests
