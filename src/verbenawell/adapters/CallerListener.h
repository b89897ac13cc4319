#pragma once

#include "verbenawell/adapters/BackendConnections.h"
#include "verbenawell/adapters/CallerBuffers.h"
#include "verbenawell/adapters/EventSink.h"
#include "verbenawell/adapters/HttpServer.h"
#include "verbenawell/core/Effect.h"
#include "verbenawell/metrics/Metrics.h"
#include "verbenawell/settings/Settings.h"

#include <atomic>
#include <memory>
#include <mutex>
#include <string>
#include <unordered_map>

#include <asio/io_context.hpp>

namespace verbenawell {

class CallerExchange;

/// Serves callers over HTTP. The thread of a caller's connection also runs
/// its attempts on backend servers.
class CallerListener
{
public:
  CallerListener(const CallerSettings& aSettings,
                 const DaemonId& aSelf,
                 asio::io_context& aIo,
                 Metrics& aMetrics,
                 EventSink aSink);
  ~CallerListener();

  void Start();
  void Stop();

  void Run(const StartAttempt& aEffect);
  void Run(const CancelAttempt& aEffect);
  void Run(const ForwardResponse& aEffect);
  void Run(const RefuseCaller& aEffect);
  void Run(const LimitIdleConnections& aEffect);

private:
  void Handle(const httplib::Request& aRequest, httplib::Response& aResponse);
  /// Refuses a request that the library rejected before it called `Handle`.
  void RefuseUnhandled(httplib::Response& aResponse);
  /// Reserves a buffer for the request's body before it is read. If none is
  /// free, refuses the request and returns false.
  bool ReserveBodyBuffer(const httplib::Request& aRequest,
                         httplib::Response& aResponse);
  std::shared_ptr<CallerExchange> Find(RequestKey aKey);

  CallerSettings settings_;
  DaemonId self_;
  asio::io_context& io_;
  Metrics& metrics_;
  EventSink sink_;
  BackendConnections backends_;
  /// Each gets half of the buffer limit. With a common budget, the bodies of
  /// waiting requests could use all of it, and no response could be read that
  /// would let them end.
  BufferBudget requestBodies_;
  BufferBudget responseBodies_;
  std::atomic<std::uint64_t> lastKey_;
  std::mutex mutex_;
  std::unordered_map<RequestKey, std::shared_ptr<CallerExchange>> exchanges_;
  HttpServer server_;
};

} // namespace verbenawell
