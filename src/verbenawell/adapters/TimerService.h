#pragma once

#include "verbenawell/adapters/EventSink.h"
#include "verbenawell/core/Time.h"
#include "verbenawell/core/TimerKey.h"

#include <functional>
#include <map>

#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>

namespace verbenawell {

/// Sends `TimerDue` to the parts that subscribed. Runs on the core's thread.
class TimerService
{
public:
  TimerService(asio::io_context& aIo, EventSink aSink);

  /// Replaces an earlier subscription under the same key.
  void Subscribe(const TimerKey& aKey, Duration aAfter);

  void Stop();

private:
  struct KeyLess
  {
    bool operator()(const TimerKey& aLeft, const TimerKey& aRight) const;
  };

  asio::io_context& io_;
  EventSink sink_;
  std::map<TimerKey, asio::steady_timer, KeyLess> timers_;
};

} // namespace verbenawell
