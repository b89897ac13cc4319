#pragma once

#include <string>
#include <vector>

#include <sys/types.h>

namespace verbenawell::tests {

/// A process started by a test, ended with it at the latest.
class ChildProcess
{
public:
  /// Writes the output to `aOutput`; throws `std::system_error`.
  ChildProcess(const std::vector<std::string>& aCommand,
               const std::string& aOutput);
  ~ChildProcess();
  ChildProcess(const ChildProcess&) = delete;
  ChildProcess& operator=(const ChildProcess&) = delete;

  void Signal(int aSignal) const;

  /// Sends the signal and waits for the end; returns the status of `waitpid`.
  int End(int aSignal);

private:
  pid_t pid_ = -1;
};

} // namespace verbenawell::tests
