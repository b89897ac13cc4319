#include "LocalFleet.h"

#include "verbenawell/codec/VmListCodec.h"

#include <condition_variable>
#include <fstream>
#include <mutex>
#include <sstream>
#include <stdexcept>

#include <httplib.h>
#include <nlohmann/json.hpp>
#include <unistd.h>

namespace standins {

using verbenawell::Endpoint;
using verbenawell::VmListing;

namespace {

constexpr const char* kHost = "127.0.0.1";
constexpr const char* kToken = "local-fleet-token";
constexpr std::chrono::seconds kWaitTimeout{ 30 };
constexpr std::chrono::milliseconds kPollInterval{ 20 };
constexpr int kHttpOk = 200;
constexpr std::size_t kLogPortOffset = 0;
constexpr std::size_t kPlatformPortOffset = 1;
constexpr std::size_t kDaemonPortsOffset = 10;
constexpr std::size_t kPortsPerDaemon = 3;
constexpr std::size_t kVmPortsOffset = 600;
constexpr std::size_t kVmPortCount = 390;

void
Pause(std::chrono::milliseconds aTime)
{
  std::mutex mutex;
  std::unique_lock lock{ mutex };
  std::condition_variable().wait_for(lock, aTime);
}

nlohmann::json
ListenAt(const Endpoint& aEndpoint)
{
  return { { "host", aEndpoint.host_ }, { "port", aEndpoint.port_ } };
}

} // namespace

LocalFleet::LocalFleet(const LocalFleetOptions& aOptions)
  : options_(aOptions)
{
  std::string pattern =
    (std::filesystem::temp_directory_path() / "verbenawell-XXXXXX").string();
  if (mkdtemp(pattern.data()) == nullptr) {
    throw std::runtime_error("cannot create a temporary folder");
  }
  folder_ = pattern;
  WriteFiles();
  const auto programs = options_.build_ / "standins";
  log_.emplace(std::vector<std::string>{ programs / "standin-log",
                                         "--port=" + std::to_string(ports_.At(
                                                       kLogPortOffset)) },
               folder_ / "log.log");
  platform_.emplace(
    std::vector<std::string>{ programs / "standin-platform",
                              "--port=" +
                                std::to_string(ports_.At(kPlatformPortOffset)),
                              "--vms=" + (folder_ / "vms.json").string(),
                              "--reboot_ms=200",
                              options_.workers_ ? "--workers" : "--noworkers" },
    folder_ / "platform.log");
  WaitFor("the platform",
          [this] { return Get(Platform(), "/vms").has_value(); });
  for (std::size_t number = 0; number < options_.daemons_; ++number) {
    StartDaemon(number);
  }
}

LocalFleet::~LocalFleet()
{
  daemons_.clear();
  platform_.reset();
  log_.reset();
  std::error_code ignored;
  std::filesystem::remove_all(folder_, ignored);
}

void
LocalFleet::StartDaemon(std::size_t aNumber)
{
  const std::string name = "e" + std::to_string(aNumber);
  // The previous process listens on the same ports, so it is killed first.
  daemons_.erase(aNumber);
  daemons_.emplace(
    aNumber,
    ChildProcess{ { (options_.build_ / "verbenawelld").string(),
                    "--config=" + (folder_ / (name + ".json")).string() },
                  folder_ / (name + ".log") });
}

ChildProcess&
LocalFleet::Daemon(std::size_t aNumber)
{
  return daemons_.at(aNumber);
}

Endpoint
LocalFleet::Callers(std::size_t aDaemon) const
{
  return { kHost, ports_.At(kDaemonPortsOffset + kPortsPerDaemon * aDaemon) };
}

Endpoint
LocalFleet::Operators(std::size_t aDaemon) const
{
  return { kHost,
           ports_.At(kDaemonPortsOffset + kPortsPerDaemon * aDaemon + 1) };
}

Endpoint
LocalFleet::Log() const
{
  return { kHost, ports_.At(kLogPortOffset) };
}

Endpoint
LocalFleet::Platform() const
{
  return { kHost, ports_.At(kPlatformPortOffset) };
}

std::optional<std::string>
LocalFleet::Get(const Endpoint& aServer, const std::string& aPath)
{
  httplib::Client client{ aServer.host_, aServer.port_ };
  const auto result = client.Get(aPath);
  if (!result || result->status != kHttpOk) {
    return {};
  }
  return result->body;
}

bool
LocalFleet::Post(const Endpoint& aServer, const std::string& aPath)
{
  httplib::Client client{ aServer.host_, aServer.port_ };
  const auto result = client.Post(aPath);
  return result && result->status == kHttpOk;
}

std::string
LocalFleet::Command(std::size_t aDaemon,
                    const std::string& aText,
                    const std::string& aConfirmation) const
{
  const Endpoint server = Operators(aDaemon);
  httplib::Client client{ server.host_, server.port_ };
  client.set_read_timeout(kWaitTimeout);
  const httplib::Headers headers{
    { "Authorization", std::string("Bearer ") + kToken },
    { "Verbenawell-Operator", "test" },
    { "Verbenawell-Confirmation", aConfirmation }
  };
  const auto result = client.Post("/command", headers, aText, "text/plain");
  return result ? result->body : std::string{};
}

void
LocalFleet::ExecuteCommand(std::size_t aDaemon, const std::string& aText) const
{
  WaitFor("\"" + aText + "\"", [&] {
    const auto response =
      nlohmann::json::parse(Command(aDaemon, aText), nullptr, false);
    return response.is_object() && response.value("status", "") == "done";
  });
}

double
LocalFleet::Metric(std::size_t aDaemon, const std::string& aName) const
{
  const auto text = Get(Operators(aDaemon), "/metrics");
  std::istringstream lines{ text.value_or("") };
  double sum = 0;
  for (std::string line; std::getline(lines, line);) {
    const bool matches =
      line.starts_with(aName + " ") || line.starts_with(aName + "{");
    if (matches) {
      sum += std::stod(line.substr(line.rfind(' ') + 1));
    }
  }
  return sum;
}

void
LocalFleet::WaitUntilReady() const
{
  for (std::size_t number = 0; number < options_.daemons_; ++number) {
    WaitFor("daemon e" + std::to_string(number),
            [&] { return Get(Operators(number), "/readyz").has_value(); });
  }
}

void
LocalFleet::WaitFor(const std::string& aWhat,
                    const std::function<bool()>& aCondition)
{
  const auto end = std::chrono::steady_clock::now() + kWaitTimeout;
  while (!aCondition()) {
    if (std::chrono::steady_clock::now() >= end) {
      throw std::runtime_error("gave up waiting for " + aWhat);
    }
    Pause(kPollInterval);
  }
}

std::vector<VmListing>
LocalFleet::MakeVms() const
{
  std::vector<VmListing> vms;
  for (std::size_t number = 0; number < options_.vms_; ++number) {
    VmListing listing;
    auto& facts = listing.facts_;
    facts.vm_ = verbenawell::VmId{ "vm" + std::to_string(number) };
    facts.address_ = { kHost,
                       ports_.At(kVmPortsOffset + number % kVmPortCount) };
    facts.region_ = verbenawell::RegionId{ "r1" };
    facts.zone_ =
      verbenawell::ZoneId{ "z" + std::to_string(number % options_.zones_) };
    facts.rack_ = verbenawell::RackId{ "k" + std::to_string(number / 4) };
    facts.size_ = { verbenawell::Cores{ 64 },
                    verbenawell::Megabytes{ 262'144 },
                    verbenawell::Accelerators{} };
    facts.slots_ = verbenawell::SlotCount{ 8 };
    facts.boots_ = verbenawell::BootCount{ 1 };
    vms.push_back(listing);
  }
  return vms;
}

void
LocalFleet::WriteFiles() const
{
  std::ofstream{ folder_ / "vms.json" } << verbenawell::EncodeVmList(MakeVms());
  std::ofstream{ folder_ / "token" } << kToken << '\n';
  const std::string token = folder_ / "token";
  nlohmann::json seeds = nlohmann::json::array();
  const auto peers = [this](std::size_t aNumber) {
    return Endpoint{
      kHost, ports_.At(kDaemonPortsOffset + kPortsPerDaemon * aNumber + 2)
    };
  };
  for (std::size_t number = 0; number < options_.daemons_; ++number) {
    seeds.push_back(ListenAt(peers(number)));
  }
  for (std::size_t number = 0; number < options_.daemons_; ++number) {
    const std::string name = "e" + std::to_string(number);
    const nlohmann::json settings{
      { "cluster", "local" },
      { "daemon", name },
      { "region", "r1" },
      { "zone", "z" + std::to_string(number % options_.zones_) },
      { "callers", { { "listen", ListenAt(Callers(number)) } } },
      { "operators",
        { { "listen", ListenAt(Operators(number)) }, { "tokenFile", token } } },
      { "peers",
        { { "listen", ListenAt(peers(number)) },
          { "tokenFile", token },
          { "seeds", seeds } } },
      { "platform",
        { { "log", ListenAt(Log()) }, { "vmList", ListenAt(Platform()) } } }
    };
    std::ofstream{ folder_ / (name + ".json") } << settings.dump(2);
  }
}

} // namespace standins
