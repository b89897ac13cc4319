#include "verbenawell/log/LogReducer.h"

#include "verbenawell/log/LogState.h"
#include "verbenawell/log/Streams.h"

#include <utility>

namespace verbenawell {

namespace {

constexpr Duration kPollInterval = std::chrono::milliseconds(250);
constexpr Duration kPollIntervalFailing = std::chrono::seconds(1);

class Reducer
{
public:
  Reducer(LogState& aLog, const Context& aContext, Effects& aEffects)
    : log_(aLog)
    , context_(aContext)
    , effects_(aEffects)
  {
  }

  void operator()(const Started&) { Read(FleetStream()); }

  void operator()(const TimerDue& aEvent)
  {
    if (const auto* poll = std::get_if<LogPoll>(&aEvent.key_);
        poll != nullptr && log_.streams_.contains(poll->stream_)) {
      Read(poll->stream_);
    }
  }

  void operator()(const StreamWanted& aEvent) { Read(aEvent.stream_); }

  void operator()(const StreamUnwanted& aEvent)
  {
    log_.streams_.erase(aEvent.stream_);
  }

  void operator()(const LogRead& aEvent)
  {
    const auto found = log_.streams_.find(aEvent.stream_);
    // A page that was asked for before the stream was given up and followed
    // again would skip the records before it.
    if (found == log_.streams_.end() || found->second.next_ != aEvent.from_) {
      return;
    }
    StreamState& stream = found->second;
    stream.reading_ = false;
    stream.failing_ = false;
    Advance(aEvent.stream_, stream, aEvent.records_);
    if (stream.next_ < aEvent.next_) {
      Read(aEvent.stream_);
      return;
    }
    RetryAppends(aEvent.stream_);
    SchedulePoll(aEvent.stream_, kPollInterval);
  }

  void operator()(const LogReadFailed& aEvent)
  {
    effects_.emplace_back(Count{ Counter::LogReadsFailed });
    const auto found = log_.streams_.find(aEvent.stream_);
    if (found == log_.streams_.end()) {
      return;
    }
    StreamState& stream = found->second;
    stream.reading_ = false;
    stream.failing_ = true;
    SchedulePoll(aEvent.stream_, kPollIntervalFailing);
  }

  void operator()(const AppendWanted& aEvent)
  {
    const auto [entry, isNew] = log_.pending_.try_emplace(
      aEvent.id_,
      PendingAppend{ aEvent.stream_, aEvent.body_, context_.now_, false });
    if (isNew) {
      Send(aEvent.id_, entry->second);
    }
  }

  void operator()(const LogAppended& aEvent)
  {
    if (const auto found = log_.pending_.find(aEvent.id_);
        found != log_.pending_.end()) {
      effects_.emplace_back(Observe{ LatencyMetric::LogAppend,
                                     context_.now_ - found->second.wantedAt_ });
    }
    Read(aEvent.stream_);
  }

  void operator()(const LogAppendFailed& aEvent)
  {
    effects_.emplace_back(Count{ Counter::LogAppendsFailed });
    if (const auto found = log_.pending_.find(aEvent.id_);
        found != log_.pending_.end()) {
      found->second.inFlight_ = false;
    }
  }

  void operator()(const auto&) {}

private:
  void Read(const StreamId& aStream)
  {
    StreamState& stream = log_.streams_[aStream];
    if (stream.reading_) {
      return;
    }
    stream.reading_ = true;
    effects_.emplace_back(ReadLog{ aStream, stream.next_ });
  }

  void SchedulePoll(const StreamId& aStream, Duration aAfter)
  {
    effects_.emplace_back(SetTimer{ LogPoll{ aStream }, aAfter });
  }

  void Advance(const StreamId& aId,
               StreamState& aStream,
               const std::vector<LogRecord>& aRecords)
  {
    StreamAdvanced advanced{ aId, {} };
    for (const LogRecord& record : aRecords) {
      if (record.offset_ < aStream.next_) {
        continue;
      }
      aStream.next_ = record.offset_ + Offset{ 1 };
      log_.pending_.erase(record.id_);
      advanced.records_.push_back(record);
    }
    if (!advanced.records_.empty()) {
      effects_.emplace_back(Raise{ std::move(advanced) });
    }
  }

  // A failed append is sent again once reading has reached the end of the
  // stream without meeting its record. Should the first one arrive late all
  // the same, the fold drops the second by its record id.
  void RetryAppends(const StreamId& aStream)
  {
    for (auto& [id, append] : log_.pending_) {
      if (append.stream_ == aStream && !append.inFlight_) {
        Send(id, append);
      }
    }
  }

  void Send(const RecordId& aId, PendingAppend& aAppend)
  {
    aAppend.inFlight_ = true;
    effects_.emplace_back(AppendLog{ aAppend.stream_, aId, aAppend.body_ });
  }

  LogState& log_;
  const Context& context_;
  Effects& effects_;
};

} // namespace

void
ReduceLog(LogState& aLog,
          const Views&,
          const Event& aEvent,
          const Context& aContext,
          Effects& aEffects)
{
  std::visit(Reducer{ aLog, aContext, aEffects }, aEvent);
}

} // namespace verbenawell
