#pragma once

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

#include <sys/types.h>

namespace standins {

/// A program started by a test or a bench; killed at the latest when the
/// object goes.
class ChildProcess
{
public:
  /// Starts the program with its output in `aLogFile`; throws
  /// `std::system_error`.
  ChildProcess(const std::vector<std::string>& aCommand,
               const std::string& aLogFile);
  ChildProcess(ChildProcess&& aOther) noexcept;
  ChildProcess& operator=(ChildProcess&& aOther) noexcept;
  ChildProcess(const ChildProcess&) = delete;
  ChildProcess& operator=(const ChildProcess&) = delete;
  ~ChildProcess();

  void Signal(int aSignal) const;

  /// Waits for the end; the exit code, or 128 and more for a signal.
  int Wait();

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
