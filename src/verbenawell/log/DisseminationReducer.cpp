#include "verbenawell/log/DisseminationReducer.h"

#include "verbenawell/fleet/FleetState.h"
#include "verbenawell/log/LogState.h"
#include "verbenawell/log/Peers.h"
#include "verbenawell/log/Streams.h"

#include <algorithm>
#include <utility>
#include <vector>

namespace verbenawell {

namespace {

constexpr std::size_t kFanOut = 3;
constexpr std::size_t kMaxRecentRecords = 256;
// Keeps a message far below the size limit of messages between daemons.
constexpr std::size_t kMaxRecordsPerMessage = 64;
// Older records are read by a daemon that catches up; its peers have them.
constexpr std::chrono::seconds kMaxRecordAge{ 10 };
constexpr Duration kStateRequestInterval = std::chrono::milliseconds(500);

/// A change of a kind that this daemon does not know was decoded without its
/// fields. It is not passed on: a peer that knows the kind has to read the
/// record from the log.
bool
IsFullyDecoded(const LogRecord& aRecord)
{
  const auto* fleet = std::get_if<FleetRecord>(&aRecord.body_);
  return fleet != nullptr &&
         !std::holds_alternative<UnknownChange>(fleet->change_);
}

class Reducer
{
public:
  Reducer(LogState& aLog,
          const Views& aViews,
          const Context& aContext,
          Effects& aEffects)
    : log_(aLog)
    , views_(aViews)
    , context_(aContext)
    , effects_(aEffects)
  {
  }

  void operator()(const StreamAdvanced& aEvent)
  {
    if (aEvent.stream_ != FleetStream()) {
      return;
    }
    LogRecords recent;
    for (const LogRecord& record : aEvent.records_) {
      StoreRecent(record);
      if (IsFullyDecoded(record) &&
          IsRecent(std::get<FleetRecord>(record.body_)) &&
          recent.records_.size() < kMaxRecordsPerMessage) {
        recent.records_.push_back(record);
      }
    }
    if (recent.records_.empty() || !views_.fleet_.loaded_) {
      return;
    }
    for (const DaemonId& peer : ChoosePeers(
           views_.membership_, context_.self_, kFanOut, log_.random_)) {
      effects_.emplace_back(SendPeer{ peer, recent });
    }
  }

  void operator()(const FleetReplaced&) { log_.recentRecords_.clear(); }

  void operator()(const PeerMessageReceived& aEvent)
  {
    if (aEvent.from_ == context_.self_) {
      return;
    }
    std::visit([&](const auto& aMessage) { Receive(aEvent.from_, aMessage); },
               aEvent.message_);
  }

  void operator()(const auto&) {}

private:
  [[nodiscard]] bool IsRecent(const FleetRecord& aRecord) const
  {
    return context_.wallNow_ - aRecord.at_ <= kMaxRecordAge;
  }

  void StoreRecent(const LogRecord& aRecord)
  {
    log_.recentRecords_.push_back(aRecord);
    if (log_.recentRecords_.size() > kMaxRecentRecords) {
      log_.recentRecords_.pop_front();
    }
  }

  void Receive(const DaemonId& aFrom, const LogRecords& aMessage)
  {
    const auto found = log_.streams_.find(FleetStream());
    if (found == log_.streams_.end() || !found->second.followed_) {
      return;
    }
    StreamState& stream = found->second;
    StreamAdvanced advanced{ FleetStream(), {} };
    for (const LogRecord& record : aMessage.records_) {
      if (record.offset_ > stream.next_) {
        RequestState(aFrom);
        break;
      }
      if (!IsFullyDecoded(record)) {
        break;
      }
      if (record.offset_ == stream.next_) {
        ++stream.next_;
        advanced.records_.push_back(record);
      }
    }
    if (!advanced.records_.empty()) {
      effects_.emplace_back(Raise{ std::move(advanced) });
    }
  }

  void Receive(const DaemonId& aFrom, const StateRequest& aMessage)
  {
    // A daemon without a fleet state needs a snapshot: it cannot tell whether
    // the records alone are complete.
    if (!views_.fleet_.loaded_ || aMessage.from_ <= Offset{ 1 } ||
        !IsRetained(aMessage.from_)) {
      return;
    }
    LogRecords response;
    for (const LogRecord& record : log_.recentRecords_) {
      if (record.offset_ >= aMessage.from_ && IsFullyDecoded(record) &&
          response.records_.size() < kMaxRecordsPerMessage) {
        response.records_.push_back(record);
      }
    }
    effects_.emplace_back(SendPeer{ aFrom, std::move(response) });
  }

  void Receive(const DaemonId& aFrom, const Ping& aMessage)
  {
    CompareOffsets(aFrom, aMessage.updates_);
  }

  void Receive(const DaemonId& aFrom, const Ack& aMessage)
  {
    CompareOffsets(aFrom, aMessage.updates_);
  }

  void Receive(const DaemonId&, const auto&) {}

  // Requests the records from the peer and not from the log: hundreds of
  // daemons that learn of a record at the same time would all read the log at
  // once.
  void CompareOffsets(const DaemonId& aFrom,
                      const std::vector<MemberUpdate>& aUpdates)
  {
    const bool isBehind =
      std::ranges::any_of(aUpdates, [&](const MemberUpdate& aUpdate) {
        return aUpdate.daemon_ == aFrom &&
               aUpdate.fleetOffset_ > views_.fleet_.appliedOffset_;
      });
    if (isBehind && views_.fleet_.loaded_) {
      RequestState(aFrom);
    }
  }

  void RequestState(const DaemonId& aPeer)
  {
    if (context_.now_ - log_.stateRequestedAt_ < kStateRequestInterval) {
      return;
    }
    log_.stateRequestedAt_ = context_.now_;
    effects_.emplace_back(SendPeer{
      aPeer, StateRequest{ views_.fleet_.appliedOffset_ + Offset{ 1 } } });
  }

  [[nodiscard]] bool IsRetained(Offset aOffset) const
  {
    return !log_.recentRecords_.empty() &&
           log_.recentRecords_.front().offset_ <= aOffset;
  }

  LogState& log_;
  const Views& views_;
  const Context& context_;
  Effects& effects_;
};

} // namespace

void
ReduceDissemination(LogState& aLog,
                    const Views& aViews,
                    const Event& aEvent,
                    const Context& aContext,
                    Effects& aEffects)
{
  std::visit(Reducer{ aLog, aViews, aContext, aEffects }, aEvent);
}

} // namespace verbenawell
