#pragma once

#include "Http.h"
#include "Record.h"
#include "Store.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include <sys/types.h>

namespace verbenawell::review {

struct QueueSettings
{
  std::string name_;
  std::string prefix_;
  std::string service_;
  int maxAttempts_ = 2;
};

/// Writes a configuration with these queues and services.
void
PutConfiguration(Store& aStore,
                 const std::vector<QueueSettings>& aQueues,
                 const std::vector<std::string>& aServices);

/// The processes of the deploy file, each on a loopback address of its own.
class Entries
{
public:
  Entries(std::string aProgram,
          std::string aFolder,
          std::uint16_t aStorePort,
          std::uint16_t aVmServicePort,
          Record& aRecord);
  /// Kills all processes that were started.
  ~Entries();
  Entries(const Entries&) = delete;
  Entries& operator=(const Entries&) = delete;

  void Start(std::size_t aIndex);
  void Signal(std::size_t aIndex, int aSignal);
  /// Waits until all daemons report that they are ready.
  bool WaitUntilReady(std::chrono::seconds aTimeout);
  [[nodiscard]] static std::string NodeOf(std::size_t aIndex);
  /// Tells whether a process has ended by itself.
  [[nodiscard]] bool HasEnded(std::size_t aIndex);

  /// A request of a client to one daemon.
  std::optional<HttpResponse> Call(std::size_t aIndex,
                                   const std::string& aMethod,
                                   const std::string& aPath,
                                   const std::string& aBody = {});

  /// Submits a job at one daemon after the other until it is accepted.
  bool Submit(const std::string& aPath, const std::string& aBody);
  /// Asks the daemons for a job's state; empty without one.
  std::string StateOf(const std::string& aPath);

private:
  struct Entry
  {
    std::string address_;
    pid_t process_ = 0;
  };

  std::string program_;
  std::string folder_;
  std::uint16_t storePort_;
  std::uint16_t vmServicePort_;
  Record& record_;
  std::uint16_t callerPort_;
  std::uint16_t readinessPort_;
  std::uint16_t metricsPort_;
  std::uint16_t peerPort_;
  std::map<std::size_t, Entry> entries_;
};

/// Runs a case: the exit code is 1 if the rule was broken and 0 if it held.
/// Exceptions lead to 2, as the case could not run.
int
RunCase(int aCount,
        char** aArguments,
        const std::function<bool(const std::string& aProgram,
                                 const std::string& aFolder,
                                 bool aHasTrouble,
                                 Record& aRecord)>& aCase);

} // namespace verbenawell::review
