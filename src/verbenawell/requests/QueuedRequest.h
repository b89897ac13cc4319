#pragma once

#include "verbenawell/core/Time.h"
#include "verbenawell/requests/Messages.h"

#include <cstddef>
#include <functional>

namespace verbenawell {

/// Identifies a request at the pool's owner: its entry daemon, and its key
/// there.
struct QueuedRequestId
{
  DaemonId entry_;
  RequestKey key_;

  auto operator<=>(const QueuedRequestId&) const = default;
};

/// A slot request that waits in the queue of a pool.
struct QueuedRequest
{
  QueuedRequestId id_;
  SlotRequest request_;
  TimePoint queuedAt_;
  TimePoint deadline_;
};

} // namespace verbenawell

template<>
struct std::hash<verbenawell::QueuedRequestId>
{
  std::size_t operator()(const verbenawell::QueuedRequestId& aId) const
  {
    constexpr std::size_t kKeyFactor = 0x9E3779B97F4A7C15ULL;
    return std::hash<verbenawell::DaemonId>{}(aId.entry_) ^
           (std::hash<verbenawell::RequestKey>{}(aId.key_) * kKeyFactor);
  }
};
