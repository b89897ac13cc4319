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
  /// Folder with the built programs.
  std::filesystem::path build_;
  std::size_t daemons_ = 3;
  std::size_t vms_ = 16;
  std::size_t zones_ = 4;
  /// Starts a backend server for each VM; without, VMs exist in the list only.
  bool workers_ = true;
};

/// Stand-ins and daemons as processes on loopback ports, in a folder of their
/// own that goes with the object.
class LocalFleet
{
public:
  explicit LocalFleet(const LocalFleetOptions& aOptions);
  ~LocalFleet();
  LocalFleet(const LocalFleet&) = delete;
  LocalFleet& operator=(const LocalFleet&) = delete;

  void StartDaemon(std::size_t aNumber);
  [[nodiscard]] ChildProcess& Daemon(std::size_t aNumber);
  [[nodiscard]] std::size_t DaemonCount() const { return options_.daemons_; }

  [[nodiscard]] verbenawell::Endpoint Callers(std::size_t aDaemon) const;
  [[nodiscard]] verbenawell::Endpoint Operators(std::size_t aDaemon) const;
  [[nodiscard]] verbenawell::Endpoint Log() const;
  [[nodiscard]] verbenawell::Endpoint Platform() const;

  /// Body of a GET, or nothing.
  static std::optional<std::string> Get(const verbenawell::Endpoint& aServer,
                                        const std::string& aPath);
  static bool Post(const verbenawell::Endpoint& aServer,
                   const std::string& aPath);

  /// Answer of a daemon to an operator's command, as JSON.
  [[nodiscard]] std::string Command(
    std::size_t aDaemon,
    const std::string& aText,
    const std::string& aConfirmation = {}) const;

  /// Sends the command until a daemon says that it is done.
  void Change(std::size_t aDaemon, const std::string& aText) const;

  /// Sum of a counter over its labels.
  [[nodiscard]] double Metric(std::size_t aDaemon,
                              const std::string& aName) const;

  void WaitUntilReady() const;

  /// Repeats the look until it succeeds; throws `std::runtime_error` when the
  /// time is over.
  static void WaitFor(const std::string& aWhat,
                      const std::function<bool()>& aLook);

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
