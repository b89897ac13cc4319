#include "verbenawell/adapters/SnapshotWorker.h"

#include "verbenawell/codec/SnapshotCodec.h"

#include <utility>

#include <asio/post.hpp>

namespace verbenawell {

SnapshotWorker::SnapshotWorker(EventSink aSink)
  : sink_(std::move(aSink))
  , thread_(1)
{
}

SnapshotWorker::~SnapshotWorker()
{
  thread_.join();
}

void
SnapshotWorker::Run(const EncodeSnapshot& aEffect)
{
  asio::post(thread_, [this, aEffect] { sink_(Encode(aEffect)); });
}

void
SnapshotWorker::Run(const DecodeSnapshot& aEffect)
{
  asio::post(thread_, [this, aEffect] { sink_(Decode(aEffect)); });
}

} // namespace verbenawell
