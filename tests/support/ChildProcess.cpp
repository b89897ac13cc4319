#include "ChildProcess.h"

#include <cerrno>
#include <csignal>
#include <system_error>
#include <utility>

#include <fcntl.h>
#include <spawn.h>
#include <sys/wait.h>
#include <unistd.h>

namespace verbenawell::tests {

ChildProcess::ChildProcess(const std::vector<std::string>& aCommand,
                           const std::string& aOutput)
{
  std::vector<char*> arguments;
  for (const std::string& argument : aCommand) {
    arguments.push_back(const_cast<char*>(argument.c_str()));
  }
  arguments.push_back(nullptr);
  posix_spawn_file_actions_t actions;
  posix_spawn_file_actions_init(&actions);
  constexpr mode_t kMode = 0600;
  posix_spawn_file_actions_addopen(&actions,
                                   STDOUT_FILENO,
                                   aOutput.c_str(),
                                   O_WRONLY | O_CREAT | O_APPEND,
                                   kMode);
  posix_spawn_file_actions_adddup2(&actions, STDOUT_FILENO, STDERR_FILENO);
  const int error = posix_spawn(
    &pid_, arguments[0], &actions, nullptr, arguments.data(), environ);
  posix_spawn_file_actions_destroy(&actions);
  if (error != 0) {
    throw std::system_error(error, std::generic_category(), aCommand[0]);
  }
}

ChildProcess::~ChildProcess()
{
  End(SIGKILL);
}

void
ChildProcess::Signal(int aSignal) const
{
  if (pid_ > 0) {
    kill(pid_, aSignal);
  }
}

int
ChildProcess::End(int aSignal)
{
  const pid_t pid = std::exchange(pid_, -1);
  int status = 0;
  if (pid > 0) {
    kill(pid, aSignal);
    while (waitpid(pid, &status, 0) < 0 && errno == EINTR) {
    }
  }
  return status;
}

} // namespace verbenawell::tests
