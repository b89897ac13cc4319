#include "Cluster.h"
#include "ClusterAddresses.h"

#include <fstream>

#include <nlohmann/json.hpp>

namespace verbenawell::tests {

namespace {

using nlohmann::json;

json
Address(const std::string& aHost, std::uint16_t aPort)
{
  return { { "host", aHost }, { "port", aPort } };
}

void
Write(const std::string& aPath, const std::string& aText)
{
  std::ofstream{ aPath } << aText;
}

} // namespace

void
Cluster::WriteFiles()
{
  json vms = json::array();
  for (std::size_t index = 0; index < options_.workers_; ++index) {
    const std::string number = std::to_string(index);
    vms.push_back({ { "vm", "w" + number },
                    { "host", kHost },
                    { "port", range_.At(kFirstWorkerPort + index) },
                    { "region", "r" },
                    { "zone", "z" + number },
                    { "rack", "k" + number },
                    { "cores", 8 },
                    { "memoryMb", 1024 },
                    { "accelerators", 0 },
                    { "slots", options_.slots_ },
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
      { "callers",
        { { "listen", Address(kHost, ports.callers_) },
          { "maxConnections", options_.maxCallers_ } } },
      { "operators",
        { { "listen", Address(kHost, ports.operators_) },
          { "tokenFile", folder_ + "/operators.token" } } },
      { "peers",
        { { "listen", Address(PeerHost(index), ports.peers_) },
          { "advertise", Address(kHost, ports.proxy_) },
          { "tokenFile", folder_ + "/peers.token" },
          { "seeds", seeds } } },
      { "platform",
        { { "log", Address(kHost, range_.At(kLogPort)) },
          { "vmList", Address(kHost, range_.At(kVmListPort)) } } }
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
  const std::string host = PlatformHost();
  standins_.push_back(
    Spawn("standins/standin-log",
          { "--host=" + host,
            "--port=" + std::to_string(range_.At(kLogPort)),
            "--retention=" + std::to_string(options_.logRetention_) },
          "log"));
  standins_.push_back(
    Spawn("standins/standin-platform",
          { "--host=" + host,
            "--port=" + std::to_string(range_.At(kVmListPort)),
            "--vms=" + folder_ + "/vms.json",
            "--worker_host=" + host,
            "--reboot_ms=" + std::to_string(options_.reboot_.count()) },
          "platform"));
  for (std::size_t index = 0; index < kDaemons; ++index) {
    const Ports& ports = ports_[index];
    StartProxy({ kHost, ports.proxy_ },
               PeerAddress(index),
               ports.control_,
               "proxy" + std::to_string(index));
  }
  if (!options_.isPlatformProxied_) {
    return;
  }
  std::vector<std::size_t> offsets{ kLogPort, kVmListPort };
  for (std::size_t index = 0; index < options_.workers_; ++index) {
    offsets.push_back(kFirstWorkerPort + index);
  }
  for (const std::size_t offset : offsets) {
    const std::uint16_t port = range_.At(offset);
    StartProxy({ kHost, port },
               { kProxiedHost, port },
               range_.At(kControlPortOffset + offset),
               "platform-proxy" + std::to_string(offset));
  }
}

void
Cluster::StartProxy(const Endpoint& aListen,
                    const Endpoint& aTo,
                    std::uint16_t aControl,
                    const std::string& aName)
{
  standins_.push_back(Spawn("standins/standin-proxy",
                            { "--host=" + aListen.host_,
                              "--port=" + std::to_string(aListen.port_),
                              "--to_host=" + aTo.host_,
                              "--to_port=" + std::to_string(aTo.port_),
                              "--control_port=" + std::to_string(aControl) },
                            aName));
}

} // namespace verbenawell::tests
