#pragma once

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

#include <sys/types.h>

namespace standins {

/// A program started by a test or a benchmark. The destructor kills it if it
/// still runs.
class ChildProcess
{
public:
  /// Starts the program and appends its output to `aLogFile`; throws
  /// `std::system_error`.
  ChildProcess(const std::vector<std::string>& aCommand,
               const std::string& aLogFile);
  ChildProcess(ChildProcess&& aOther) noexcept;
  ChildProcess& operator=(ChildProcess&& aOther) noexcept;
  ChildProcess(const ChildProcess&) = delete;
  ChildProcess& operator=(const ChildProcess&) = delete;
  ~ChildProcess();

  void Signal(int aSignal) const;

  /// Waits until the program ends and returns its exit code, or 128 plus the
  /// number of the signal that ended it.
  int Wait();

  [[nodiscard]] pid_t Id() const { return pid_; }

  [[nodiscard]] bool IsRunning() const { return pid_ > 0; }

  /// Processor time used so far.
  [[nodiscard]] std::chrono::milliseconds CpuTime() const;

  /// Resident memory in bytes.
  [[nodiscard]] std::uint64_t ResidentBytes() const;

private:
  void Kill();

  pid_t pid_ = -1;
};

} // namespace standins
