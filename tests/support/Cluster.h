#pragma once

#include "verbenawell/core/Endpoint.h"

#include "ChildProcess.h"
#include "PortRange.h"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <variant>
#include <vector>

#include <httplib.h>

namespace verbenawell::tests {

/// Checks the condition every 20 ms; false if it does not hold in time.
bool
WaitFor(const std::function<bool()>& aCondition,
        std::chrono::seconds aTimeout = std::chrono::seconds(20));

struct CallerRequest
{
  std::string id_;
  bool idempotent_ = true;
  std::chrono::milliseconds runTime_{ 0 };
  std::chrono::milliseconds deadline_{ 5000 };
  std::size_t memoryMb_ = 0;
  std::string body_ = "body";
  /// The worker sends a chunked response instead of one with a length.
  bool isChunked_ = false;
};

/// Requests that the stand-in platform has counted on one VM.
struct WorkerLoad
{
  std::size_t running_ = 0;
  std::size_t started_ = 0;
  std::size_t interrupted_ = 0;
};

/// The headers that describe the request to a daemon and to a stand-in worker.
httplib::Headers
MakeHeaders(const CallerRequest& aRequest);

struct ClusterOptions
{
  std::size_t workers_ = 3;
  std::size_t slots_ = 2;
  /// Availability budget of the service "s". A budget below the number of VMs
  /// that the loss of a zone leaves needs a confirmation.
  std::size_t budget_ = 1;
  std::chrono::milliseconds reboot_{ 500 };
  /// Records that the log retains in each stream; 0 retains all.
  std::uint64_t logRetention_ = 0;
  /// Whether the log, the VM list and each worker are behind proxies too.
  bool isPlatformProxied_ = false;
  /// Caller connections that a daemon serves at the same time.
  std::size_t maxCallers_ = 1024;
};

/// The server behind a proxy.
struct ToDaemon
{
  std::size_t index_ = 0;
};
struct ToLog
{};
struct ToVmList
{};
struct ToWorker
{
  std::size_t index_ = 0;
};
using ProxiedServer = std::variant<ToDaemon, ToLog, ToVmList, ToWorker>;

/// Runs three daemons and stand-ins for the log, the platform and the workers
/// on free loopback ports. The daemons reach each daemon through its own proxy
/// and connect from their own IP addresses, so that a test can break single
/// paths.
class Cluster
{
public:
  static constexpr std::size_t kDaemons = 3;

  /// Starts all processes and waits until every daemon serves the service "s".
  /// Its pool "p" has all workers but the last, which is the spare VM.
  explicit Cluster(const ClusterOptions& aOptions = {});
  ~Cluster();

  void StartDaemon(std::size_t aIndex);

  void Signal(std::size_t aIndex, int aSignal) const;

  /// Ends a daemon by the signal; returns its exit code, or 128 and more if a
  /// signal ended it.
  int End(std::size_t aIndex, int aSignal);

  [[nodiscard]] bool IsReady(std::size_t aIndex) const;
  [[nodiscard]] bool AreReady() const;

  /// Value of a counter of the daemon; zero if the daemon does not respond.
  [[nodiscard]] std::uint64_t ReadCounter(std::size_t aIndex,
                                          const std::string& aName) const;

  [[nodiscard]] httplib::Result SendRequest(
    std::size_t aIndex,
    const CallerRequest& aRequest) const;
  [[nodiscard]] bool ServesCallers(std::size_t aIndex) const;

  /// Number of times that the workers ran the request id.
  [[nodiscard]] std::size_t CountRuns(const std::string& aId) const;

  /// Number of requests that run on workers now.
  [[nodiscard]] std::size_t CountRunningRequests() const;

  /// Body of the response of the log service, or of the platform, without a
  /// proxy; empty if there is none.
  [[nodiscard]] std::string GetFromLog(const std::string& aPath) const;
  [[nodiscard]] std::string GetFromPlatform(const std::string& aPath) const;

  [[nodiscard]] WorkerLoad ReadLoad(const std::string& aVm) const;

  /// Waits until the counters of every daemon add up: received = answered +
  /// refused + unknown + cancelled. Returns the metrics of the daemons whose
  /// counters do not; empty if there are none.
  [[nodiscard]] std::string WaitForCountersToAddUp() const;

  /// Index of the daemon that claimed the pool last.
  [[nodiscard]] std::size_t FindOwner(const std::string& aPool) const;

  [[nodiscard]] std::uint64_t ReadResidentBytes(std::size_t aIndex) const;

  /// Established connections to a worker, seen from the clients' side.
  [[nodiscard]] std::size_t CountConnectionsToWorker(std::size_t aIndex) const;

  /// Sends the signal to the proxy in front of a daemon.
  void SignalProxyOf(std::size_t aIndex, int aSignal) const;

  /// Sets the rule of a proxy; `aQuery` as for `standin-proxy`.
  void SetRule(const ProxiedServer& aServer, const std::string& aQuery) const;

  /// Posts to the log service without a proxy, for example "/faults?down=1".
  void PostToLog(const std::string& aPath) const;
  /// Posts to the platform without a proxy, for example
  /// "/mode?vm=w0&mode=silent".
  void PostToPlatform(const std::string& aPath) const;

  /// Sends an operator's command to a daemon; returns the HTTP response.
  [[nodiscard]] httplib::Result SendCommand(
    std::size_t aIndex,
    const std::string& aText,
    const std::string& aConfirmation = "") const;
  /// Repeats a command until it takes effect, and confirms it if required.
  void ApplyCommand(const std::string& aText) const;

  /// Breaks or restores all paths between one daemon and the others.
  void Isolate(std::size_t aIndex, bool aIsIsolated) const;

  /// Where a daemon listens for others, behind its proxy.
  [[nodiscard]] Endpoint PeerAddress(std::size_t aIndex) const;
  [[nodiscard]] Endpoint CallerAddress(std::size_t aIndex) const;
  [[nodiscard]] std::string FolderPath() const { return folder_; }

private:
  struct Ports
  {
    std::uint16_t callers_;
    std::uint16_t operators_;
    std::uint16_t peers_;
    std::uint16_t proxy_;
    std::uint16_t control_;
  };

  [[nodiscard]] std::string ReadMetrics(std::size_t aIndex) const;
  [[nodiscard]] bool CountersAddUp(std::size_t aIndex) const;
  /// Names the daemons that are not ready, with their logs.
  [[nodiscard]] std::string DescribeUnreadyDaemons() const;
  void WriteFiles();
  void StartStandins();
  void DefineFleet() const;
  void StartProxy(const Endpoint& aListen,
                  const Endpoint& aTo,
                  std::uint16_t aControl,
                  const std::string& aName);
  [[nodiscard]] std::string PlatformHost() const;
  [[nodiscard]] std::uint16_t ControlPort(const ProxiedServer& aServer) const;
  std::unique_ptr<standins::ChildProcess> Spawn(
    const std::string& aProgram,
    std::vector<std::string> aArguments,
    const std::string& aName) const;

  ClusterOptions options_;
  std::string folder_;
  standins::PortRange range_;
  std::vector<Ports> ports_;
  std::vector<std::unique_ptr<standins::ChildProcess>> standins_;
  std::vector<std::unique_ptr<standins::ChildProcess>> daemons_;
};

} // namespace verbenawell::tests
