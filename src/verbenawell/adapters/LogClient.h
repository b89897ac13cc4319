#pragma once

#include "verbenawell/adapters/EventSink.h"
#include "verbenawell/core/Effect.h"
#include "verbenawell/core/Endpoint.h"
#include "verbenawell/metrics/Metrics.h"

#include <asio/thread_pool.hpp>

namespace verbenawell {

/// Reads and appends records through the platform's log service over HTTP.
class LogClient
{
public:
  LogClient(Endpoint aLog, Metrics& aMetrics, EventSink aSink);
  ~LogClient();

  void Run(const ReadLog& aEffect);
  void Run(const AppendLog& aEffect);

private:
  Event Read(const ReadLog& aEffect) const;
  Event Append(const AppendLog& aEffect) const;

  Endpoint log_;
  Metrics& metrics_;
  EventSink sink_;
  // Separate threads, so that appends do not wait for slow reads.
  asio::thread_pool readers_;
  asio::thread_pool writers_;
};

} // namespace verbenawell
