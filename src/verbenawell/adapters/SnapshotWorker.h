#pragma once

#include "verbenawell/adapters/EventSink.h"
#include "verbenawell/core/Effect.h"

#include <asio/thread_pool.hpp>

namespace verbenawell {

/// Encodes and decodes snapshots on a thread of its own: with thousands of VMs,
/// this takes long enough to delay the event loop.
class SnapshotWorker
{
public:
  explicit SnapshotWorker(EventSink aSink);
  ~SnapshotWorker();

  void Run(const EncodeSnapshot& aEffect);
  void Run(const DecodeSnapshot& aEffect);

private:
  EventSink sink_;
  asio::thread_pool thread_;
};

} // namespace verbenawell
