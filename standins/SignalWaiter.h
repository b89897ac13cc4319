#pragma once

#include <csignal>

namespace standins {

/// Blocks SIGTERM and SIGINT in the current thread and in the threads that it
/// starts later, and waits for one of them.
class SignalWaiter
{
public:
  SignalWaiter()
  {
    sigemptyset(&signals_);
    sigaddset(&signals_, SIGTERM);
    sigaddset(&signals_, SIGINT);
    pthread_sigmask(SIG_BLOCK, &signals_, nullptr);
  }

  void Wait() const
  {
    int signal = 0;
    sigwait(&signals_, &signal);
  }

private:
  sigset_t signals_{};
};

} // namespace standins
