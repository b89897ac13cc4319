#pragma once

#include "verbenawell/adapters/CallerListener.h"
#include "verbenawell/adapters/LogClient.h"
#include "verbenawell/adapters/OperatorListener.h"
#include "verbenawell/adapters/PeerTransport.h"
#include "verbenawell/adapters/PlatformClient.h"
#include "verbenawell/adapters/SnapshotWorker.h"
#include "verbenawell/adapters/TimerService.h"
#include "verbenawell/core/State.h"
#include "verbenawell/metrics/Metrics.h"
#include "verbenawell/settings/Settings.h"

#include <string>

#include <asio/executor_work_guard.hpp>
#include <asio/io_context.hpp>
#include <asio/signal_set.hpp>
#include <asio/steady_timer.hpp>

namespace verbenawell {

/// Secrets read from the files that the settings name.
struct Tokens
{
  std::string operators_;
  std::string peers_;
};

/// Connects the reducer to its adapters. All events are applied on one thread,
/// which runs the event loop.
class Daemon
{
public:
  Daemon(const Settings& aSettings, Tokens aTokens);

  /// Serves until SIGTERM or SIGINT arrives and the requests in progress have
  /// finished.
  void Run();

private:
  void Post(Event aEvent);
  void Apply(const Event& aEvent);
  void Execute(const Effect& aEffect);
  void StopAfterFinalMessages();
  void Stop();

  Settings settings_;
  asio::io_context io_;
  asio::executor_work_guard<asio::io_context::executor_type> workGuard_;
  asio::signal_set signals_;
  Metrics metrics_;
  State state_;
  TimerService<TimerKey> timers_;
  CallerListener callers_;
  OperatorListener operators_;
  LogClient log_;
  PlatformClient platform_;
  PeerTransport peers_;
  asio::steady_timer exitTimer_;
  SnapshotWorker snapshots_;
};

} // namespace verbenawell
