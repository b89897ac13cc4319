#pragma once

#include "verbenawell/core/Endpoint.h"
#include "verbenawell/fleet/FleetEvents.h"

#include "ChildProcess.h"
#include "PortRange.h"

#include <chrono>
#include <filesystem>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace standins {

struct LocalFleetOptions
{
  /// Build folder with the programs.
  std::filesystem::path build_;
  std::size_t daemons_ = 3;
  std::size_t vms_ = 16;
  std::size_t zones_ = 4;
  /// Starts a backend server for each VM. If false, the VMs exist only in the
  /// VM list.
  bool workers_ = true;
};

/// Runs stand-ins and daemons as processes on loopback ports. Their files are
/// in a temporary folder, which the destructor removes.
class LocalFleet
{
public:
  explicit LocalFleet(const LocalFleetOptions& aOptions);
  ~LocalFleet();
  LocalFleet(const LocalFleet&) = delete;
  LocalFleet& operator=(const LocalFleet&) = delete;

  /// Starts the daemon; kills its previous process first if there is one.
  void StartDaemon(std::size_t aNumber);
  [[nodiscard]] ChildProcess& Daemon(std::size_t aNumber);
  [[nodiscard]] std::size_t DaemonCount() const { return options_.daemons_; }

  [[nodiscard]] verbenawell::Endpoint Callers(std::size_t aDaemon) const;
  [[nodiscard]] verbenawell::Endpoint Operators(std::size_t aDaemon) const;
  [[nodiscard]] verbenawell::Endpoint Log() const;
  [[nodiscard]] verbenawell::Endpoint Platform() const;

  /// Sends a GET request; returns the body of a 200 response, else nothing.
  static std::optional<std::string> Get(const verbenawell::Endpoint& aServer,
                                        const std::string& aPath);
  /// Sends a POST request; returns whether the response is 200.
  static bool Post(const verbenawell::Endpoint& aServer,
                   const std::string& aPath);

  /// Sends an operator's command; returns the daemon's response as JSON, or an
  /// empty string if there is none.
  [[nodiscard]] std::string Command(
    std::size_t aDaemon,
    const std::string& aText,
    const std::string& aConfirmation = {}) const;

  /// Repeats the command until the daemon responds that it is done.
  void ExecuteCommand(std::size_t aDaemon, const std::string& aText) const;

  /// Returns the sum of a metric over all its labels.
  [[nodiscard]] double Metric(std::size_t aDaemon,
                              const std::string& aName) const;

  /// Waits until all daemons are ready.
  void WaitUntilReady() const;

  /// Polls the condition until it is true; throws `std::runtime_error` after
  /// 30 s.
  static void WaitFor(const std::string& aWhat,
                      const std::function<bool()>& aCondition);

private:
  [[nodiscard]] std::vector<verbenawell::VmListing> MakeVms() const;
  void WriteFiles() const;

  LocalFleetOptions options_;
  std::filesystem::path folder_;
  PortRange ports_;
  std::optional<ChildProcess> log_;
  std::optional<ChildProcess> platform_;
  std::map<std::size_t, ChildProcess> daemons_;
};

} // namespace standins
