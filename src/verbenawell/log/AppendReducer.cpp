#include "verbenawell/log/AppendReducer.h"

#include "verbenawell/fleet/FleetState.h"
#include "verbenawell/log/LogState.h"

#include <algorithm>
#include <string>
#include <utility>
#include <vector>

namespace verbenawell {

namespace {

// Maximum number of unfinished appends, more than a daemon appends within
// `kMaxAppendAge` while the log works.
constexpr std::size_t kMaxPending = 1024;
// Age at which an append is abandoned; longer than the log client's time-outs
// for an append and a read.
constexpr Duration kMaxAppendAge = std::chrono::seconds(10);
constexpr Duration kExpiryInterval = std::chrono::seconds(1);
// Limits what each daemon sends at once after an outage of the log.
constexpr std::size_t kMaxResentPerRead = 16;

class Reducer
{
public:
  Reducer(LogState& aLog, const Context& aContext, Effects& aEffects)
    : log_(aLog)
    , context_(aContext)
    , effects_(aEffects)
  {
  }

  void operator()(const AppendRequested& aEvent)
  {
    if (log_.pending_.contains(aEvent.id_)) {
      return;
    }
    if (log_.pending_.size() >= kMaxPending) {
      Abandon(
        aEvent.stream_, aEvent.id_, false, "too many appends are pending");
      return;
    }
    if (log_.pending_.empty()) {
      effects_.emplace_back(SetTimer{ AppendExpiry{}, kExpiryInterval });
    }
    PendingAppend& append = log_.pending_[aEvent.id_];
    append.stream_ = aEvent.stream_;
    append.body_ = aEvent.body_;
    append.requestedAt_ = context_.now_;
    ++log_.streams_[aEvent.stream_].appends_;
    Send(aEvent.id_, append);
  }

  void operator()(const LogAppended& aEvent)
  {
    if (const auto found = log_.pending_.find(aEvent.id_);
        found != log_.pending_.end()) {
      effects_.emplace_back(Observe{
        LatencyMetric::LogAppend, context_.now_ - found->second.requestedAt_ });
    }
  }

  void operator()(const LogAppendFailed& aEvent)
  {
    effects_.emplace_back(Count{ Counter::LogAppendsFailed });
    const auto found = log_.pending_.find(aEvent.id_);
    if (found == log_.pending_.end()) {
      return;
    }
    PendingAppend& append = found->second;
    append.inFlight_ = false;
    append.mayBeInLog_ = append.mayBeInLog_ || !aEvent.notAppended_;
    append.readsAtFailure_ = log_.streams_[append.stream_].readsStarted_;
    append.endAfterFailure_.reset();
  }

  void operator()(const LogRead& aEvent)
  {
    if (log_.pending_.empty()) {
      return;
    }
    for (const LogRecord& record : aEvent.records_) {
      Confirm(record.id_);
    }
    ResendAbsent(aEvent);
  }

  // Records pushed by a peer are in the log: that peer has read them from it.
  void operator()(const StreamAdvanced& aEvent)
  {
    for (const LogRecord& record : aEvent.records_) {
      Confirm(record.id_);
    }
  }

  void operator()(const RecordProcessed& aEvent) { Confirm(aEvent.id_); }

  // The records that a snapshot covers are not read any more; their outcomes
  // are part of the snapshot.
  void operator()(const FleetReplaced& aEvent)
  {
    for (const auto& [id, append] : log_.pending_) {
      if (const auto found = aEvent.fleet_->recentOutcomes_.find(id);
          found != aEvent.fleet_->recentOutcomes_.end()) {
        const auto& [offset, refusal] = found->second;
        effects_.emplace_back(Raise{ RecordProcessed{ id, offset, refusal } });
      }
    }
  }

  void operator()(const TimerDue& aEvent)
  {
    if (!std::holds_alternative<AppendExpiry>(aEvent.key_)) {
      return;
    }
    for (auto entry = log_.pending_.begin(); entry != log_.pending_.end();) {
      const auto& [id, append] = *entry;
      if (context_.now_ - append.requestedAt_ < kMaxAppendAge) {
        ++entry;
        continue;
      }
      Abandon(append.stream_,
              id,
              append.mayBeInLog_ || append.inFlight_,
              "not seen in the log in time");
      --log_.streams_[append.stream_].appends_;
      entry = log_.pending_.erase(entry);
    }
    if (!log_.pending_.empty()) {
      effects_.emplace_back(SetTimer{ AppendExpiry{}, kExpiryInterval });
    }
  }

  void operator()(const auto&) {}

private:
  void Confirm(const RecordId& aId)
  {
    const auto found = log_.pending_.find(aId);
    if (found == log_.pending_.end()) {
      return;
    }
    if (!found->second.inFlight_) {
      effects_.emplace_back(Count{ Counter::LogAppendsConfirmedByRead });
    }
    --log_.streams_[found->second.stream_].appends_;
    log_.pending_.erase(found);
  }

  // Resends failed appends whose records are absent from the log: a read that
  // started after the failure returned the end of the stream, and reading has
  // reached that end without finding the record. If the first append is delayed
  // and still arrives, the fleet state ignores the second record by its id.
  void ResendAbsent(const LogRead& aPage)
  {
    const StreamState& stream = log_.streams_[aPage.stream_];
    const Offset readEnd = aPage.records_.empty()
                             ? std::max(aPage.from_, aPage.first_)
                             : aPage.records_.back().offset_ + Offset{ 1 };
    std::vector<std::pair<TimePoint, RecordId>> absent;
    for (auto& [id, append] : log_.pending_) {
      if (append.stream_ != aPage.stream_ || append.inFlight_ ||
          append.readsAtFailure_ >= stream.readsStarted_) {
        continue;
      }
      if (!append.endAfterFailure_) {
        append.endAfterFailure_ = aPage.next_;
      }
      if (readEnd >= *append.endAfterFailure_) {
        absent.emplace_back(append.requestedAt_, id);
      }
    }
    std::ranges::sort(absent);
    absent.resize(std::min(absent.size(), kMaxResentPerRead));
    for (const auto& [requestedAt, id] : absent) {
      Send(id, log_.pending_.at(id));
    }
  }

  void Send(const RecordId& aId, PendingAppend& aAppend)
  {
    aAppend.inFlight_ = true;
    effects_.emplace_back(AppendLog{ aAppend.stream_, aId, aAppend.body_ });
  }

  void Abandon(const StreamId& aStream,
               const RecordId& aId,
               bool aMayBeInLog,
               std::string aReason)
  {
    effects_.emplace_back(Count{ Counter::LogAppendsAbandoned });
    effects_.emplace_back(Raise{
      AppendAbandoned{ aStream, aId, aMayBeInLog, std::move(aReason) } });
  }

  LogState& log_;
  const Context& context_;
  Effects& effects_;
};

} // namespace

void
ReduceAppends(LogState& aLog,
              const Views&,
              const Event& aEvent,
              const Context& aContext,
              Effects& aEffects)
{
  std::visit(Reducer{ aLog, aContext, aEffects }, aEvent);
}

} // namespace verbenawell
