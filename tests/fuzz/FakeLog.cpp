#include "FakeLog.h"

#include "verbenawell/codec/SnapshotCodec.h"
#include "verbenawell/fleet/ApplyRecord.h"
#include "verbenawell/log/Snapshot.h"
#include "verbenawell/log/Streams.h"

#include <algorithm>
#include <utility>

namespace verbenawell::fuzz {

namespace {

using std::chrono::milliseconds;

constexpr std::size_t kMaxPageRecords = 64;
// Time-out of the log client. An append may take effect after it.
constexpr Duration kClientTimeout = std::chrono::seconds(2);

std::string
Describe(const RecordBody& aBody)
{
  std::string text;
  if (const auto* record = std::get_if<FleetRecord>(&aBody)) {
    text += " change " + std::to_string(record->change_.index());
  } else if (const auto* batch = std::get_if<IntentBatch>(&aBody)) {
    text += " of " + batch->owner_.Value();
    for (const StartedIntent& started : batch->started_) {
      text.append(" ").append(started.request_.Value());
      text.append("@").append(started.entry_.Value());
    }
    for (const RequestId& request : batch->notRun_) {
      text.append(" not ").append(request.Value());
    }
  }
  return text;
}

} // namespace

Duration
FakeLog::Delay()
{
  return world_.activeFaults_.logSlow_ > 0
           ? world_.Between(milliseconds(100), milliseconds(1500))
           : world_.Between(milliseconds(1), milliseconds(8));
}

void
FakeLog::Handle(const ReadLog& aRead, bool aDisconnected, const Reply& aReply)
{
  const Duration requestDelay = Delay();
  const Duration responseDelay = Delay();
  const bool down = world_.activeFaults_.logDown_ > 0;
  if (down || aDisconnected || requestDelay + responseDelay > kClientTimeout) {
    world_.After(down ? requestDelay : kClientTimeout, [aRead, aReply] {
      aReply(LogReadFailed{ aRead.stream_, "no response" });
    });
    return;
  }
  world_.After(requestDelay, [this, aRead, aReply, responseDelay] {
    LogRead page = ReadPage(aRead);
    world_.After(responseDelay,
                 [aReply, page = std::move(page)] { aReply(page); });
  });
}

void
FakeLog::Handle(const AppendLog& aAppend,
                bool aDisconnected,
                const Reply& aReply)
{
  const Duration requestDelay = Delay();
  const Duration responseDelay = Delay();
  const auto fail = [&](Duration aAfter, bool aIsKnownAbsent) {
    world_.After(aAfter, [aAppend, aReply, aIsKnownAbsent] {
      aReply(LogAppendFailed{
        aAppend.stream_, aAppend.id_, aIsKnownAbsent, "no response" });
    });
  };
  if (world_.activeFaults_.logDown_ > 0 ||
      world_.activeFaults_.logRejects_ > 0) {
    fail(requestDelay,
         world_.activeFaults_.logRejects_ > 0 || world_.Chance(50));
    return;
  }
  if (aDisconnected) {
    fail(kClientTimeout, false);
    return;
  }
  const bool isResponseLost =
    world_.activeFaults_.logLosesResponses_ > 0 && world_.Chance(70);
  const bool isTimedOut = requestDelay + responseDelay > kClientTimeout;
  if (isResponseLost || isTimedOut) {
    fail(isTimedOut ? kClientTimeout : requestDelay + responseDelay, false);
  }
  world_.After(
    requestDelay,
    [this, aAppend, aReply, responseDelay, isResponseLost, isTimedOut] {
      Store(aAppend.stream_, aAppend.id_, aAppend.body_);
      const Offset offset = streams_[aAppend.stream_].next_ - Offset{ 1 };
      if (!isResponseLost && !isTimedOut) {
        world_.After(responseDelay, [aAppend, aReply, offset] {
          aReply(LogAppended{ aAppend.stream_, aAppend.id_, offset });
        });
      }
    });
}

void
FakeLog::Store(const StreamId& aStream, RecordId aId, RecordBody aBody)
{
  Stream& stream = streams_[aStream];
  if (world_.Tracing()) {
    world_.Trace("log " + aStream.Value() + " " +
                 std::to_string(stream.next_.Value()) + " " + aId.Value() +
                 Describe(aBody));
  }
  if (const auto* record = std::get_if<FleetRecord>(&aBody)) {
    Apply(fleetState_, stream.next_, *record);
    world_.Observe(
      FleetStateObserved{ DaemonId{ "log" }, &fleetState_, {}, {}, true });
  }
  stream.records_.push_back({ stream.next_, std::move(aId), std::move(aBody) });
  ++stream.next_;
}

// The platform's retention time is much longer than the snapshot interval, so
// every removed record is part of a snapshot.
void
FakeLog::Expire()
{
  const DaemonId author{ "past" };
  for (SnapshotChunk& chunk : SplitSnapshot(
         fleetState_.appliedOffset_, EncodeFleet(fleetState_), author, {})) {
    RecordId id{ "past/" + std::to_string(fleetState_.appliedOffset_.Value()) +
                 "/" + std::to_string(chunk.index_) };
    Store(SnapshotStream(), std::move(id), std::move(chunk));
  }
  streams_[FleetStream()].records_.clear();
}

LogRead
FakeLog::ReadPage(const ReadLog& aRead)
{
  const Stream& stream = streams_[aRead.stream_];
  LogRead page{ aRead.stream_, aRead.from_, {}, stream.next_, {} };
  page.first_ = stream.next_ - Offset{ stream.records_.size() };
  for (const LogRecord& record : stream.records_) {
    if (record.offset_ >= aRead.from_ &&
        page.records_.size() < std::min(kMaxPageRecords, aRead.limit_)) {
      page.records_.push_back(record);
    }
  }
  return page;
}

} // namespace verbenawell::fuzz
