#pragma once

#include "verbenawell/core/Time.h"

#include <functional>
#include <map>
#include <system_error>
#include <utility>

#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>

namespace verbenawell {

/// Timers that are identified by keys; the sink gets the key of each timer that
/// is due. Runs on the event loop's thread.
template<typename Key>
class TimerService
{
public:
  using Sink = std::function<void(const Key&)>;

  TimerService(asio::io_context& aIo, Sink aSink)
    : io_(aIo)
    , sink_(std::move(aSink))
  {
  }

  /// Starts the timer of a key; replaces an earlier one of the same key.
  void Subscribe(const Key& aKey, Duration aAfter)
  {
    const auto [entry, isNew] = timers_.try_emplace(aKey, io_);
    entry->second.expires_after(aAfter);
    entry->second.async_wait([this, aKey](const std::error_code& aError) {
      if (!aError) {
        sink_(aKey);
      }
    });
  }

  void Stop() { timers_.clear(); }

private:
  asio::io_context& io_;
  Sink sink_;
  std::map<Key, asio::steady_timer> timers_;
};

} // namespace verbenawell
