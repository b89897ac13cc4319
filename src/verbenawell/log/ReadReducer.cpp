#include "verbenawell/log/ReadReducer.h"

#include "verbenawell/log/LogState.h"
#include "verbenawell/log/Streams.h"
#include "verbenawell/membership/MembershipState.h"

#include <algorithm>
#include <string>
#include <utility>

namespace verbenawell {

namespace {

constexpr Duration kPollInterval = std::chrono::milliseconds(250);
// The members that read a record of the fleet stream first push it to others,
// and pings carry the offset that each member has reached; polls find the
// records that both have missed.
constexpr Duration kSharedPollInterval = std::chrono::milliseconds(500);
// An intent stream has one reader, which reads at once after each of its own
// appends. Polled every 250 ms, 12 idle pools cost 20 KB of traffic a second.
constexpr Duration kIdlePollInterval = std::chrono::seconds(8);
// Limits the reads of a shared stream by all members to 50 a second.
constexpr Duration kPollIntervalPerMember = std::chrono::milliseconds(20);
constexpr Duration kPollIntervalFailing = std::chrono::seconds(2);
constexpr std::uint32_t kMaxFailureDoublings = 3;
constexpr std::uint32_t kMaxIdleDoublings = 5;
// Limits the time that the reducer spends on one page.
constexpr std::size_t kMaxPageRecords = 256;

class Reducer
{
public:
  Reducer(LogState& aLog, const Views& aViews, Effects& aEffects)
    : log_(aLog)
    , views_(aViews)
    , effects_(aEffects)
  {
  }

  void operator()(const StreamRequested& aEvent)
  {
    StreamState& stream = log_.streams_[aEvent.stream_];
    stream.followed_ = true;
    stream.caughtUp_ = false;
    stream.hasGap_ = false;
    stream.next_ = aEvent.from_;
    stream.discardRead_ = stream.readInFlight_;
    stream.idleReads_ = 0;
    Read(aEvent.stream_, stream);
  }

  void operator()(const StreamReleased& aEvent)
  {
    if (const auto found = log_.streams_.find(aEvent.stream_);
        found != log_.streams_.end()) {
      found->second.followed_ = false;
      RemoveIfUnused(found);
    }
  }

  void operator()(const TimerDue& aEvent)
  {
    const auto* poll = std::get_if<LogPoll>(&aEvent.key_);
    if (poll == nullptr) {
      return;
    }
    const auto found = log_.streams_.find(poll->stream_);
    if (found == log_.streams_.end()) {
      return;
    }
    found->second.pollScheduled_ = false;
    if (!found->second.readInFlight_) {
      Read(poll->stream_, found->second);
    }
  }

  void operator()(const LogAppended& aEvent)
  {
    if (const auto found = log_.streams_.find(aEvent.stream_);
        found != log_.streams_.end() && !RaiseAppended(aEvent, found->second)) {
      Read(aEvent.stream_, found->second);
    }
  }

  // The response to the append may get lost; polling still reads the record
  // back.
  void operator()(const AppendRequested& aEvent)
  {
    if (const auto found = log_.streams_.find(aEvent.stream_);
        found != log_.streams_.end() && found->second.pollScheduled_) {
      PollSoon(found->first, found->second);
    }
  }

  void operator()(const LogAppendFailed& aEvent)
  {
    if (const auto found = log_.streams_.find(aEvent.stream_);
        found != log_.streams_.end()) {
      PollSoon(found->first, found->second);
    }
  }

  void operator()(const LogRead& aEvent)
  {
    const auto found = log_.streams_.find(aEvent.stream_);
    if (found == log_.streams_.end()) {
      return;
    }
    StreamState& stream = found->second;
    stream.readInFlight_ = false;
    if (std::exchange(stream.failures_, 0) > 0) {
      LogStreamStatus(LogLevel::Info, "log-answers", aEvent.stream_, "");
    }
    const bool discard = std::exchange(stream.discardRead_, false);
    bool reachedEnd = true;
    stream.idleReads_ = aEvent.records_.empty() ? stream.idleReads_ + 1 : 0;
    if (!discard) {
      reachedEnd = Advance(aEvent, stream);
    }
    if (RemoveIfUnused(found)) {
      return;
    }
    if (discard || !reachedEnd || stream.readAgain_) {
      Read(aEvent.stream_, stream);
    } else {
      SchedulePoll(aEvent.stream_, stream);
    }
  }

  void operator()(const LogReadFailed& aEvent)
  {
    effects_.emplace_back(Count{ Counter::LogReadsFailed });
    const auto found = log_.streams_.find(aEvent.stream_);
    if (found == log_.streams_.end()) {
      return;
    }
    StreamState& stream = found->second;
    stream.readInFlight_ = false;
    stream.readAgain_ = false;
    stream.discardRead_ = false;
    stream.idleReads_ = 0;
    if (stream.failures_++ == 0) {
      LogStreamStatus(
        LogLevel::Warning, "log-failing", aEvent.stream_, aEvent.reason_);
    }
    if (!RemoveIfUnused(found)) {
      SchedulePoll(aEvent.stream_, stream);
    }
  }

  void operator()(const auto&) {}

private:
  using StreamEntry = std::map<StreamId, StreamState>::iterator;

  bool RemoveIfUnused(StreamEntry aEntry)
  {
    const StreamState& stream = aEntry->second;
    if (stream.followed_ || stream.readInFlight_ || stream.appends_ > 0) {
      return false;
    }
    log_.streams_.erase(aEntry);
    return true;
  }

  void Read(const StreamId& aId, StreamState& aStream)
  {
    if (aStream.readInFlight_) {
      aStream.readAgain_ = true;
      return;
    }
    aStream.readInFlight_ = true;
    aStream.readAgain_ = false;
    ++aStream.readsStarted_;
    effects_.emplace_back(ReadLog{ aId, aStream.next_, kMaxPageRecords });
  }

  // A poll that is due soon stays scheduled: frequently failing appends would
  // postpone it forever.
  void PollSoon(const StreamId& aId, StreamState& aStream)
  {
    const bool isPollDelayed = std::exchange(aStream.idleReads_, 0) > 1;
    if (!aStream.readInFlight_ && (!aStream.pollScheduled_ || isPollDelayed)) {
      SchedulePoll(aId, aStream);
    }
  }

  [[nodiscard]] Duration PollInterval(const StreamId& aId,
                                      const StreamState& aStream) const
  {
    if (aId == FleetStream() || aId == SnapshotStream()) {
      const auto members =
        static_cast<Duration::rep>(views_.membership_.members_.size());
      return std::max(aStream.failures_ > 0 ? kPollInterval
                                            : kSharedPollInterval,
                      kPollIntervalPerMember * members);
    }
    if (aStream.failures_ > 0 || aStream.appends_ > 0) {
      return kPollInterval;
    }
    const std::uint32_t doublings =
      std::min(aStream.idleReads_, kMaxIdleDoublings);
    return std::min(kPollInterval * (1U << doublings), kIdlePollInterval);
  }

  // Doubles the interval with each failed read, up to a limit. Random jitter
  // keeps the daemons from all reading at once after an outage.
  void SchedulePoll(const StreamId& aId, StreamState& aStream)
  {
    aStream.pollScheduled_ = true;
    Duration interval = PollInterval(aId, aStream);
    if (aStream.failures_ > 0) {
      const std::uint32_t doublings =
        std::min(aStream.failures_ - 1, kMaxFailureDoublings);
      interval = std::min(interval * (1U << doublings),
                          std::max(interval, kPollIntervalFailing));
      interval -= Duration{ static_cast<Duration::rep>(
        log_.random_.Below(static_cast<std::uint64_t>(interval.count()) / 2)) };
    }
    effects_.emplace_back(SetTimer{ LogPoll{ aId }, interval });
  }

  /// Raises the record of an append that is the next one to be read; returns
  /// false if it has to be read from the log.
  // Reading it back would take another round trip to the log. With a slow log,
  // a batch of intents then took as long as its requests may wait.
  bool RaiseAppended(const LogAppended& aEvent, StreamState& aStream)
  {
    const auto append = log_.pending_.find(aEvent.id_);
    if (append == log_.pending_.end() || !aStream.followed_ ||
        !aStream.caughtUp_ || aStream.discardRead_ ||
        aEvent.offset_ != aStream.next_) {
      return false;
    }
    ++aStream.next_;
    effects_.emplace_back(Raise{ StreamAdvanced{
      aEvent.stream_,
      { { aEvent.offset_, aEvent.id_, append->second.body_ } } } });
    return true;
  }

  /// Raises the new records of a page; returns false if the page did not reach
  /// the end of the stream, so that the next read is due at once.
  bool Advance(const LogRead& aPage, StreamState& aStream)
  {
    if (IsBehind(aPage, aStream) && !SkipGap(aPage, aStream)) {
      return true;
    }
    aStream.hasGap_ = false;
    StreamAdvanced advanced{ aPage.stream_, {} };
    for (const LogRecord& record : aPage.records_) {
      if (record.offset_ < aStream.next_) {
        continue;
      }
      if (advanced.records_.size() >= kMaxPageRecords) {
        break;
      }
      aStream.next_ = record.offset_ + Offset{ 1 };
      advanced.records_.push_back(record);
    }
    if (aStream.followed_ && !advanced.records_.empty()) {
      effects_.emplace_back(Raise{ std::move(advanced) });
    }
    if (aStream.next_ < aPage.next_) {
      // An empty page before the end waits for the next poll: reading again at
      // once would repeat without a pause.
      return aPage.records_.empty();
    }
    if (aStream.followed_ && !std::exchange(aStream.caughtUp_, true)) {
      effects_.emplace_back(
        Raise{ StreamCaughtUp{ aPage.stream_, aStream.next_ } });
    }
    return true;
  }

  static Offset FirstAvailable(const LogRead& aPage)
  {
    return aPage.records_.empty()
             ? aPage.first_
             : std::max(aPage.first_, aPage.records_.front().offset_);
  }

  static bool IsBehind(const LogRead& aPage, const StreamState& aStream)
  {
    return aStream.next_ < FirstAvailable(aPage);
  }

  /// Continues after expired records if the stream allows it. The fleet stream
  /// does not: the fleet state would silently lack their changes.
  bool SkipGap(const LogRead& aPage, StreamState& aStream)
  {
    const Offset first = FirstAvailable(aPage);
    if (aStream.next_ == Offset{} && aPage.stream_ != FleetStream()) {
      aStream.next_ = first;
      return true;
    }
    const bool canSkip = aPage.stream_ != FleetStream();
    if (canSkip || !std::exchange(aStream.hasGap_, true)) {
      effects_.emplace_back(Count{ Counter::LogGaps });
      effects_.emplace_back(
        Raise{ StreamGap{ aPage.stream_, aStream.next_, first } });
    }
    if (canSkip) {
      aStream.next_ = first;
    }
    return canSkip;
  }

  void LogStreamStatus(LogLevel aLevel,
                       std::string aEvent,
                       const StreamId& aStream,
                       const std::string& aReason)
  {
    effects_.emplace_back(
      LogLine{ aLevel,
               std::move(aEvent),
               { { "stream", aStream.Value() }, { "reason", aReason } } });
  }

  LogState& log_;
  const Views& views_;
  Effects& effects_;
};

} // namespace

void
ReduceReads(LogState& aLog,
            const Views& aViews,
            const Event& aEvent,
            const Context&,
            Effects& aEffects)
{
  std::visit(Reducer{ aLog, aViews, aEffects }, aEvent);
}

} // namespace verbenawell
