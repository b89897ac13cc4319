#include "ChildProcess.h"

#include <cerrno>
#include <csignal>
#include <fstream>
#include <sstream>
#include <system_error>
#include <utility>

#include <fcntl.h>
#include <spawn.h>
#include <sys/wait.h>
#include <unistd.h>

namespace standins {

namespace {

constexpr int kSignalExitBase = 128;
constexpr mode_t kLogMode = 0600;

std::vector<char*>
ToArguments(const std::vector<std::string>& aCommand)
{
  std::vector<char*> arguments;
  arguments.reserve(aCommand.size() + 1);
  for (const std::string& word : aCommand) {
    arguments.push_back(const_cast<char*>(word.c_str()));
  }
  arguments.push_back(nullptr);
  return arguments;
}

} // namespace

ChildProcess::ChildProcess(const std::vector<std::string>& aCommand,
                           const std::string& aLogFile)
{
  posix_spawn_file_actions_t actions;
  posix_spawn_file_actions_init(&actions);
  posix_spawn_file_actions_addopen(&actions,
                                   STDOUT_FILENO,
                                   aLogFile.c_str(),
                                   O_WRONLY | O_CREAT | O_APPEND,
                                   kLogMode);
  posix_spawn_file_actions_adddup2(&actions, STDOUT_FILENO, STDERR_FILENO);
  auto arguments = ToArguments(aCommand);
  const int error = posix_spawn(
    &pid_, arguments[0], &actions, nullptr, arguments.data(), environ);
  posix_spawn_file_actions_destroy(&actions);
  if (error != 0) {
    throw std::system_error(
      error, std::generic_category(), "cannot start " + aCommand.front());
  }
}

ChildProcess::ChildProcess(ChildProcess&& aOther) noexcept
  : pid_(std::exchange(aOther.pid_, -1))
{
}

ChildProcess&
ChildProcess::operator=(ChildProcess&& aOther) noexcept
{
  if (this != &aOther) {
    Kill();
    pid_ = std::exchange(aOther.pid_, -1);
  }
  return *this;
}

ChildProcess::~ChildProcess()
{
  Kill();
}

void
ChildProcess::Signal(int aSignal) const
{
  if (pid_ > 0) {
    kill(pid_, aSignal);
  }
}

int
ChildProcess::Wait()
{
  int status = 0;
  while (waitpid(pid_, &status, 0) < 0 && errno == EINTR) {
  }
  pid_ = -1;
  return WIFEXITED(status) ? WEXITSTATUS(status)
                           : kSignalExitBase + WTERMSIG(status);
}

std::chrono::milliseconds
ChildProcess::CpuTime() const
{
  std::ifstream file{ "/proc/" + std::to_string(pid_) + "/stat" };
  std::string text{ std::istreambuf_iterator<char>{ file }, {} };
  // The second field is the program name in brackets, which may contain spaces.
  // The text behind it starts with the third field.
  std::istringstream fields{ text.substr(text.rfind(')') + 1) };
  constexpr int kFieldsBeforeUserTime = 11;
  std::string skipped;
  for (int field = 0; field < kFieldsBeforeUserTime; ++field) {
    fields >> skipped;
  }
  long user = 0;
  long system = 0;
  fields >> user >> system;
  constexpr long kMsPerSecond = 1000;
  return std::chrono::milliseconds((user + system) * kMsPerSecond /
                                   sysconf(_SC_CLK_TCK));
}

std::uint64_t
ChildProcess::ResidentBytes() const
{
  std::ifstream file{ "/proc/" + std::to_string(pid_) + "/statm" };
  std::uint64_t pages = 0;
  file >> pages >> pages;
  return pages * static_cast<std::uint64_t>(sysconf(_SC_PAGESIZE));
}

void
ChildProcess::Kill()
{
  if (pid_ > 0) {
    kill(pid_, SIGKILL);
    Wait();
  }
}

} // namespace standins
