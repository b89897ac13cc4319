#include "verbenawell/log/SnapshotReducer.h"

#include "verbenawell/core/Overloaded.h"
#include "verbenawell/fleet/FleetState.h"
#include "verbenawell/log/LogState.h"
#include "verbenawell/log/Peers.h"
#include "verbenawell/log/Streams.h"
#include "verbenawell/membership/Ownership.h"

#include <algorithm>
#include <string>
#include <utility>

namespace verbenawell {

namespace {

constexpr Offset kRecordsPerSnapshot{ 500 };
// A new snapshot is due after a third of the log's retention time, so that two
// attempts can fail before the last snapshot expires.
constexpr int kSnapshotsPerRetention = 3;
constexpr Duration kStateRequestInterval = std::chrono::seconds(1);
constexpr Duration kSearchInterval = std::chrono::seconds(2);
constexpr Duration kCheckInterval = std::chrono::seconds(30);
// Time limit for writing a snapshot, longer than the time after which the
// chunks' appends are abandoned.
constexpr Duration kMaxWriteTime = std::chrono::seconds(30);
// Further peers request the state from another peer a second later.
constexpr std::size_t kMaxRequesters = 8;

class Reducer
{
public:
  Reducer(LogState& aLog,
          const Views& aViews,
          const Context& aContext,
          Effects& aEffects)
    : log_(aLog)
    , state_(aLog.snapshots_)
    , fleet_(aViews.fleet_)
    , views_(aViews)
    , context_(aContext)
    , effects_(aEffects)
  {
  }

  void operator()(const Started&)
  {
    state_.startedAt_ = context_.now_;
    ReadSnapshots(SnapshotPhase::Searching);
    effects_.emplace_back(SetTimer{ StateTransfer{}, kStateRequestInterval });
  }

  void operator()(const TimerDue& aEvent)
  {
    std::visit(Overloaded{
                 [&](const StateTransfer&) { RequestInitialState(); },
                 [&](const LogPoll& aPoll) {
                   if (aPoll.stream_ == FleetStream()) {
                     HandleFleetPoll();
                   }
                 },
                 [](const auto&) {},
               },
               aEvent.key_);
  }

  void operator()(const StreamGap& aEvent)
  {
    if (aEvent.stream_ != FleetStream()) {
      return;
    }
    effects_.emplace_back(
      LogLine{ LogLevel::Warning,
               "records-expired",
               { { "from", std::to_string(aEvent.from_.Value()) },
                 { "first", std::to_string(aEvent.first_.Value()) } } });
    SearchSnapshot();
  }

  void operator()(const LogRead& aEvent)
  {
    if (aEvent.stream_ == FleetStream()) {
      state_.oldestOffset_ = aEvent.first_;
      state_.nextOffset_ = aEvent.next_;
    }
  }

  void operator()(const StreamAdvanced& aEvent)
  {
    if (aEvent.stream_ != SnapshotStream()) {
      return;
    }
    for (const LogRecord& record : aEvent.records_) {
      const auto* chunk = std::get_if<SnapshotChunk>(&record.body_);
      if (chunk == nullptr ||
          state_.fromLog_.Add(*chunk) == ChunkOutcome::Invalid) {
        effects_.emplace_back(Count{ Counter::SnapshotsInvalid });
      }
    }
    const auto& newest = state_.fromLog_.Newest();
    if (state_.phase_ == SnapshotPhase::Writing && newest &&
        newest->through_ >= state_.encodedOffset_) {
      effects_.emplace_back(Count{ Counter::SnapshotsWritten });
      StopReading();
    }
  }

  void operator()(const StreamCaughtUp& aEvent)
  {
    if (aEvent.stream_ != SnapshotStream()) {
      return;
    }
    const auto& newest = state_.fromLog_.Newest();
    if (state_.phase_ == SnapshotPhase::Searching) {
      if (newest && newest->through_ > fleet_.appliedOffset_) {
        Enter(SnapshotPhase::Loading);
        effects_.emplace_back(
          DecodeSnapshot{ SnapshotSource::Log, newest->bytes_ });
      } else {
        FollowFleet();
      }
    } else if (state_.phase_ == SnapshotPhase::Checking) {
      if (IsDue()) {
        Enter(SnapshotPhase::Encoding);
        EncodeFleetState();
      } else {
        StopReading();
      }
    }
  }

  void operator()(const SnapshotDecoded& aEvent)
  {
    const bool isNewer =
      aEvent.fleet_ != nullptr &&
      (aEvent.fleet_->appliedOffset_ > fleet_.appliedOffset_ ||
       !fleet_.loaded_);
    if (aEvent.fleet_ == nullptr) {
      effects_.emplace_back(Count{ Counter::SnapshotsInvalid });
      effects_.emplace_back(LogLine{ LogLevel::Error,
                                     "snapshot-invalid",
                                     { { "reason", aEvent.reason_ } } });
    }
    if (isNewer && aEvent.fleet_->appliedOffset_ >= fleet_.appliedOffset_) {
      effects_.emplace_back(Count{ Counter::SnapshotsLoaded });
      effects_.emplace_back(
        Raise{ FleetReplaced{ aEvent.source_, aEvent.fleet_ } });
      effects_.emplace_back(Raise{ StreamRequested{
        FleetStream(), aEvent.fleet_->appliedOffset_ + Offset{ 1 } } });
      if (state_.phase_ == SnapshotPhase::Loading) {
        StopReading();
      }
    } else if (state_.phase_ == SnapshotPhase::Loading) {
      FollowFleet();
    }
  }

  void operator()(const SnapshotEncoded& aEvent)
  {
    state_.encoding_ = false;
    state_.encodedOffset_ = aEvent.through_;
    state_.encoded_ = aEvent.bytes_;
    for (const DaemonId& peer : std::exchange(state_.requesters_, {})) {
      SendState(peer);
    }
    if (state_.phase_ == SnapshotPhase::Encoding) {
      Enter(SnapshotPhase::Writing);
      Write();
    }
  }

  void operator()(const PeerMessageReceived& aEvent)
  {
    if (aEvent.from_ == context_.self_) {
      return;
    }
    std::visit(
      Overloaded{
        [&](const StateRequest& aRequest) { Receive(aEvent.from_, aRequest); },
        [&](const StateChunk& aPart) { Receive(aPart.chunk_); },
        [](const auto&) {},
      },
      aEvent.message_);
  }

  void operator()(const auto&) {}

private:
  void Enter(SnapshotPhase aPhase)
  {
    state_.phase_ = aPhase;
    state_.phaseSince_ = context_.now_;
  }

  void ReadSnapshots(SnapshotPhase aPhase)
  {
    Enter(aPhase);
    effects_.emplace_back(
      Raise{ StreamRequested{ SnapshotStream(), Offset{} } });
  }

  void StopReading()
  {
    Enter(SnapshotPhase::Idle);
    effects_.emplace_back(Raise{ StreamReleased{ SnapshotStream() } });
  }

  void FollowFleet()
  {
    StopReading();
    if (const auto found = log_.streams_.find(FleetStream());
        found == log_.streams_.end() || !found->second.followed_) {
      effects_.emplace_back(Raise{ StreamRequested{
        FleetStream(), fleet_.appliedOffset_ + Offset{ 1 } } });
    }
  }

  void RequestInitialState()
  {
    if (!fleet_.loaded_) {
      RequestState();
      effects_.emplace_back(SetTimer{ StateTransfer{}, kStateRequestInterval });
    }
  }

  void RequestState()
  {
    for (const DaemonId& peer :
         ChoosePeers(views_.membership_, context_.self_, 1, log_.random_)) {
      effects_.emplace_back(
        SendPeer{ peer, StateRequest{ fleet_.appliedOffset_ + Offset{ 1 } } });
    }
  }

  void SearchSnapshot()
  {
    if (state_.phase_ == SnapshotPhase::Idle &&
        context_.now_ - state_.phaseSince_ >= kSearchInterval) {
      ReadSnapshots(SnapshotPhase::Searching);
      RequestState();
    }
  }

  /// Runs with each poll of the fleet stream.
  void HandleFleetPoll()
  {
    const auto found = log_.streams_.find(FleetStream());
    if (found != log_.streams_.end() && found->second.hasGap_) {
      SearchSnapshot();
      return;
    }
    const Duration timeInPhase = context_.now_ - state_.phaseSince_;
    if (state_.phase_ == SnapshotPhase::Writing &&
        timeInPhase >= kMaxWriteTime) {
      StopReading();
    } else if (state_.phase_ == SnapshotPhase::Idle &&
               timeInPhase >= kCheckInterval && fleet_.loaded_ && IsDue() &&
               OwnerOf(views_.membership_, "snapshots") == context_.self_) {
      ReadSnapshots(SnapshotPhase::Checking);
    }
  }

  [[nodiscard]] bool IsDue() const
  {
    if (fleet_.appliedOffset_ == Offset{}) {
      return false;
    }
    const auto& newest = state_.fromLog_.Newest();
    if (!newest) {
      return true;
    }
    const Offset behind = fleet_.appliedOffset_ - newest->through_;
    const bool recordsExpire = state_.oldestOffset_ > Offset{ 1 };
    const Offset retainedRecords = state_.nextOffset_ - state_.oldestOffset_;
    return behind >= kRecordsPerSnapshot ||
           (recordsExpire &&
            behind.Value() * kSnapshotsPerRetention >=
              retainedRecords.Value() &&
            behind > Offset{}) ||
           context_.wallNow_ - newest->at_ >=
             state_.retention_ / kSnapshotsPerRetention;
  }

  void EncodeFleetState()
  {
    if (!std::exchange(state_.encoding_, true)) {
      effects_.emplace_back(
        EncodeSnapshot{ std::make_shared<const FleetState>(fleet_) });
    }
  }

  [[nodiscard]] std::vector<SnapshotChunk> Chunks() const
  {
    return SplitSnapshot(state_.encodedOffset_,
                         *state_.encoded_,
                         context_.self_,
                         context_.wallNow_);
  }

  void Write()
  {
    for (SnapshotChunk& chunk : Chunks()) {
      const RecordId id{ "snapshot/" + context_.self_.Value() + "/" +
                         std::to_string(chunk.through_.Value()) + "/" +
                         std::to_string(chunk.at_.time_since_epoch().count()) +
                         "/" + std::to_string(chunk.index_) };
      effects_.emplace_back(
        Raise{ AppendRequested{ SnapshotStream(), id, std::move(chunk) } });
    }
  }

  void SendState(const DaemonId& aPeer)
  {
    for (SnapshotChunk& chunk : Chunks()) {
      effects_.emplace_back(SendPeer{ aPeer, StateChunk{ std::move(chunk) } });
    }
  }

  void Receive(const DaemonId& aFrom, const StateRequest& aRequest)
  {
    const bool isRetained =
      !log_.recentRecords_.empty() && aRequest.from_ > Offset{ 1 } &&
      log_.recentRecords_.front().offset_ <= aRequest.from_;
    if (!fleet_.loaded_ || isRetained ||
        (aRequest.from_ > Offset{ 1 } &&
         aRequest.from_ > fleet_.appliedOffset_)) {
      return;
    }
    if (state_.encoded_ != nullptr &&
        state_.encodedOffset_ == fleet_.appliedOffset_) {
      SendState(aFrom);
    } else if (state_.requesters_.size() < kMaxRequesters &&
               std::ranges::count(state_.requesters_, aFrom) == 0) {
      state_.requesters_.push_back(aFrom);
      EncodeFleetState();
    }
  }

  void Receive(const SnapshotChunk& aChunk)
  {
    const ChunkOutcome outcome = state_.fromPeers_.Add(aChunk);
    if (outcome == ChunkOutcome::Invalid) {
      effects_.emplace_back(Count{ Counter::SnapshotsInvalid });
    }
    if (outcome == ChunkOutcome::Completed &&
        (aChunk.through_ > fleet_.appliedOffset_ || !fleet_.loaded_)) {
      effects_.emplace_back(DecodeSnapshot{
        SnapshotSource::Peer, state_.fromPeers_.Newest()->bytes_ });
    }
  }

  LogState& log_;
  SnapshotState& state_;
  const FleetState& fleet_;
  const Views& views_;
  const Context& context_;
  Effects& effects_;
};

} // namespace

void
ReduceSnapshots(LogState& aLog,
                const Views& aViews,
                const Event& aEvent,
                const Context& aContext,
                Effects& aEffects)
{
  std::visit(Reducer{ aLog, aViews, aContext, aEffects }, aEvent);
}

} // namespace verbenawell
