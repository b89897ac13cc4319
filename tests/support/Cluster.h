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

/// Looks every 20 ms; false where the state is not reached in time.
bool
WaitFor(const std::function<bool()>& aState,
        std::chrono::seconds aLimit = std::chrono::seconds(20));

/// A request as a caller sends it.
struct CallerRequest
{
  std::string id_;
  bool idempotent_ = true;
  std::chrono::milliseconds runTime_{ 0 };
  std::chrono::milliseconds deadline_{ 5000 };
  std::size_t memoryMb_ = 0;
  std::string body_ = "body";
  /// The worker answers in chunks instead of with a length.
  bool chunked_ = false;
};

/// What the workers' ledger holds of one VM.
struct WorkerLoad
{
  std::size_t running_ = 0;
  std::size_t started_ = 0;
  std::size_t cut_ = 0;
};

/// The headers that tell a daemon and a worker about the request.
httplib::Headers
HeadersOf(const CallerRequest& aRequest);

struct ClusterOptions
{
  std::size_t workers_ = 3;
  std::size_t slots_ = 2;
  /// Availability budget of the service "s".
  /// A budget below what the loss of a zone leaves asks for a
  /// confirmation, which the fixture does not give.
  std::size_t budget_ = 1;
  std::chrono::milliseconds reboot_{ 500 };
  /// Records that the log keeps a stream; 0 keeps all.
  std::uint64_t logRetention_ = 0;
  /// Proxies stand in front of the log, the VM list and each worker too.
  bool proxiedPlatform_ = false;
  /// Callers' connections that a daemon serves at once.
  std::size_t maxCallers_ = 1024;
};

/// The server that a proxy stands in front of.
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
using Link = std::variant<ToDaemon, ToLog, ToVmList, ToWorker>;

/// Stand-ins and three daemons on free loopback ports. Each daemon is reached
/// by the others through a proxy of its own and connects from an IP number of
/// its own, so that a test can break single paths.
class Cluster
{
public:
  static constexpr std::size_t kDaemons = 3;

  /// Starts everything, with the service "s" on the pool "p" of
  /// all workers but the last, which is the spare one, and waits until every
  /// daemon answers.
  explicit Cluster(const ClusterOptions& aOptions = {});
  ~Cluster();

  void StartDaemon(std::size_t aIndex);

  /// Sends the signal to a daemon.
  void Signal(std::size_t aIndex, int aSignal) const;

  /// Ends a daemon by the signal; its exit code, or 128 and more for a signal.
  int End(std::size_t aIndex, int aSignal);

  [[nodiscard]] bool IsReady(std::size_t aIndex) const;
  [[nodiscard]] bool AreReady() const;

  /// Value of a counter at the daemon; zero where it does not answer.
  [[nodiscard]] std::uint64_t CounterAt(std::size_t aIndex,
                                        const std::string& aName) const;

  [[nodiscard]] httplib::Result Ask(std::size_t aIndex,
                                    const CallerRequest& aRequest) const;
  [[nodiscard]] bool IsAnswered(std::size_t aIndex) const;

  /// Runs of a request id that the workers saw.
  [[nodiscard]] std::size_t RunsOf(const std::string& aId) const;

  /// Requests that run on workers now.
  [[nodiscard]] std::size_t Running() const;

  /// Body of what the log service, or the platform, answers without a proxy;
  /// empty where it does not answer.
  [[nodiscard]] std::string GetFromLog(const std::string& aPath) const;
  [[nodiscard]] std::string GetFromPlatform(const std::string& aPath) const;

  [[nodiscard]] WorkerLoad LoadOf(const std::string& aVm) const;

  /// Names each daemon whose counters do not add up: received = answered +
  /// refused + unknown + cancelled. Empty once they all do.
  [[nodiscard]] std::string WaitForCountersToAddUp() const;

  /// The daemon that claimed the pool last.
  [[nodiscard]] std::size_t OwnerOf(const std::string& aPool) const;

  [[nodiscard]] std::uint64_t ResidentBytesOf(std::size_t aIndex) const;

  /// Connections to a worker that are open from the client's side.
  [[nodiscard]] std::size_t ConnectionsToWorker(std::size_t aIndex) const;

  /// Sends the signal to the proxy in front of a daemon.
  void SignalProxyOf(std::size_t aIndex, int aSignal) const;

  /// Sets the rule of a proxy; `aQuery` as for `standin-proxy`.
  void SetRule(const Link& aLink, const std::string& aQuery) const;

  /// Posts to the log service itself, for example "/faults?down=1".
  void PostToLog(const std::string& aPath) const;
  /// Posts to the platform itself, for example "/mode?vm=w0&mode=silent".
  void PostToPlatform(const std::string& aPath) const;

  /// Gives an operator's command through a daemon; the whole answer.
  [[nodiscard]] httplib::Result GiveCommand(
    std::size_t aIndex,
    const std::string& aText,
    const std::string& aConfirmation = "") const;
  /// Repeats a command until it is in effect, with its confirmation where one
  /// is asked for.
  void Command(const std::string& aText) const;

  /// Breaks, or mends, all paths between one daemon and the others.
  void Isolate(std::size_t aIndex, bool aIsolated) const;

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

  [[nodiscard]] std::string MetricsOf(std::size_t aIndex) const;
  [[nodiscard]] bool CountersAddUp(std::size_t aIndex) const;
  /// Names the daemons that are not ready, with their logs.
  [[nodiscard]] std::string DescribeUnready() const;
  void WriteFiles();
  void StartStandins();
  void DefineFleet() const;
  void StartProxy(const Endpoint& aListen,
                  const Endpoint& aTo,
                  std::uint16_t aControl,
                  const std::string& aName);
  [[nodiscard]] std::string PlatformHost() const;
  [[nodiscard]] std::uint16_t ControlPort(const Link& aLink) const;
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
