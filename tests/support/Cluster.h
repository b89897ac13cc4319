#pragma once

#include "verbenawell/core/Endpoint.h"

#include "ChildProcess.h"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
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
};

/// Stand-ins and three daemons on free loopback ports. Each daemon is reached
/// by the others through a proxy of its own and connects from an IP number of
/// its own, so that a test can break single paths.
class Cluster
{
public:
  static constexpr std::size_t kDaemons = 3;

  /// Starts everything, with the service "s" on the pool "p" of two workers
  /// with two slots each, and waits until every daemon is ready.
  Cluster();
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

  /// Sets the rule of the proxy in front of a daemon; `aQuery` as for
  /// `standin-proxy`.
  void SetRule(std::size_t aIndex, const std::string& aQuery) const;

  /// Breaks, or mends, all paths between one daemon and the others.
  void Isolate(std::size_t aIndex, bool aIsolated) const;

  /// Where a daemon listens for others, behind its proxy.
  [[nodiscard]] Endpoint PeerAddress(std::size_t aIndex) const;
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

  void WriteFiles();
  void StartStandins();
  void Command(const std::string& aText) const;
  void DefineFleet() const;
  std::unique_ptr<standins::ChildProcess> Spawn(
    const std::string& aProgram,
    std::vector<std::string> aArguments,
    const std::string& aName) const;

  std::string folder_;
  std::uint16_t logPort_ = 0;
  std::uint16_t platformPort_ = 0;
  std::vector<std::uint16_t> workerPorts_;
  std::vector<Ports> ports_;
  std::vector<std::unique_ptr<standins::ChildProcess>> standins_;
  std::vector<std::unique_ptr<standins::ChildProcess>> daemons_;
};

} // namespace verbenawell::tests
