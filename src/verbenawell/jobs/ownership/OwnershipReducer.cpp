#include "verbenawell/jobs/ownership/OwnershipReducer.h"

#include "verbenawell/core/Overloaded.h"
#include "verbenawell/jobs/maintenance/MaintenanceState.h"
#include "verbenawell/jobs/ownership/OwnershipState.h"
#include "verbenawell/jobs/ownership/internal/ClaimRules.h"

#include <algorithm>
#include <utility>

namespace verbenawell::jobs {

namespace {

using namespace std::chrono_literals;

constexpr Duration kRenewalInterval = 1s;
constexpr Duration kRetryDelay = 200ms;

class Reducer
{
public:
  Reducer(OwnershipState& aState,
          const Views& aViews,
          const Context& aContext,
          Effects& aEffects)
    : state_(aState)
    , views_(aViews)
    , now_(aContext.now_)
    , effects_(aEffects)
  {
  }

  void On(const Started&)
  {
    state_.renewedAt_ = now_;
    state_.readingSince_ = now_;
    DrawClaimJitter();
    effects_.push_back(ReadNewestOwner{});
  }

  void On(const StopRequested&)
  {
    state_.isStopping_ = true;
    if (state_.AsOwner() != nullptr && !state_.appendSentAt_) {
      Append();
    }
  }

  void On(const OwnerRead& aRead)
  {
    const bool isFirst = !std::exchange(state_.hasRead_, true);
    state_.end_ = std::max(state_.end_, aRead.end_);
    if (state_.readingSince_ == TimePoint::max()) {
      state_.readingSince_ = now_;
    }
    if (aRead.record_) {
      UpdateOwner(*aRead.record_, aRead.recordOffset_);
    } else if (isFirst) {
      state_.renewedAt_ = now_;
    }
    if (state_.AsOwner() != nullptr) {
      // The read has shown whether an append without a response took effect.
      state_.appendSentAt_.reset();
      effects_.push_back(SetTimer{ OwnershipTick{}, kRetryDelay });
      return;
    }
    if (std::holds_alternative<Claiming>(state_.role_)) {
      state_.role_ = Following{};
      state_.appendSentAt_.reset();
    }
    if (const char* reason = ClaimReason(state_, now_); reason != nullptr) {
      Claim(reason);
    } else {
      effects_.push_back(ReadOwner{ state_.end_, NextReadWait(state_, now_) });
    }
  }

  // Lets a daemon that cannot read the topic forward requests. It claims only
  // after a read of its own.
  void On(const OwnerReported& aReported)
  {
    const OwnerRecord& record = aReported.record_;
    const TimePoint renewedAt = now_ - aReported.renewalAge_;
    if (!std::holds_alternative<Following>(state_.role_) ||
        record.instance_ == state_.self_.instance_ || !state_.owner_ ||
        state_.owner_->epoch_ > record.epoch_ ||
        renewedAt <= state_.renewedAt_) {
      return;
    }
    state_.renewedAt_ = renewedAt;
    if (SetOwner(record)) {
      AnnounceOwner(record);
    }
  }

  void On(const OwnerReadFailed&)
  {
    state_.readingSince_ = TimePoint::max();
    effects_.push_back(Count{ Counter::StoreCallsFailed });
    effects_.push_back(SetTimer{ OwnershipTick{}, kRetryDelay });
  }

  void On(const OwnerAppended& aAppended)
  {
    state_.end_ = Offset{ aAppended.offset_.Value() + 1 };
    const TimePoint sentAt =
      std::exchange(state_.appendSentAt_, std::nullopt).value_or(now_);
    if (auto* owning = std::get_if<Owning>(&state_.role_)) {
      owning->renewalSentAt_ = sentAt;
      ConfirmAppendedShards();
      if (state_.isStopping_) {
        LoseOwnership("resigned");
        effects_.push_back(ReadOwner{ state_.end_, kMaxOwnerReadWait });
      } else {
        effects_.push_back(SetTimer{ OwnershipTick{}, kRenewalInterval });
      }
    } else if (std::holds_alternative<Claiming>(state_.role_)) {
      AcquireOwnership(EpochOf(aAppended.offset_), sentAt);
    } else {
      // The renewal was sent before this daemon lost the ownership.
      effects_.push_back(ReadNewestOwner{});
    }
  }

  void On(const ShardCountDecided& aDecided)
  {
    state_.self_.shards_ = aDecided.shards_;
    if (state_.AsOwner() != nullptr && !state_.appendSentAt_) {
      Append();
    }
  }

  void On(const OwnerAppendRefused&) { effects_.push_back(ReadNewestOwner{}); }

  void On(const OwnerAppendFailed&)
  {
    effects_.push_back(Count{ Counter::StoreCallsFailed });
    effects_.push_back(SetTimer{ OwnershipTick{}, kRetryDelay });
  }

  void On(const JournalEpochRefused&) { effects_.push_back(ReadNewestOwner{}); }

  // Workers reject an epoch only after they have seen a higher one, which a
  // later claim created. A daemon whose calls the store rejects learns of that
  // claim from the workers first.
  void On(const LeaseRenewalRefused& aRefused)
  {
    const Owning* owning = state_.AsOwner();
    if (owning == nullptr || aRefused.refusedEpoch_ != owning->epoch_) {
      return;
    }
    const bool isAppending = state_.appendSentAt_.has_value();
    LoseOwnership("workers follow a newer owner");
    if (isAppending) {
      // The result of the append starts the next read.
      state_.readingSince_ = TimePoint::max();
    } else {
      effects_.push_back(ReadNewestOwner{});
    }
  }

  void On(const TimerDue& aDue)
  {
    if (!std::holds_alternative<OwnershipTick>(aDue.key_)) {
      return;
    }
    if (state_.AsOwner() != nullptr ||
        std::holds_alternative<Claiming>(state_.role_)) {
      Append();
    } else if (state_.readingSince_ == TimePoint::max()) {
      state_.readingSince_ = now_;
      effects_.push_back(ReadNewestOwner{});
    }
  }

  template<typename Other>
  void On(const Other&)
  {
  }

private:
  // A fencing token of 0 means that there is none, so epochs start at 1.
  static Epoch EpochOf(Offset aOffset) { return Epoch{ aOffset.Value() + 1 }; }

  void DrawClaimJitter()
  {
    state_.claimJitter_ =
      Duration{ static_cast<Duration::rep>(state_.random_.Below(
        static_cast<std::uint64_t>(kMaxClaimJitter.count()))) };
  }

  void UpdateOwner(const OwnerRecord& aRecord, Offset aOffset)
  {
    OwnerRecord record = aRecord;
    if (record.epoch_ == Epoch{}) {
      record.epoch_ = EpochOf(aOffset);
    }
    const bool isNew = SetOwner(record);
    state_.renewedAt_ = now_;
    const auto* owning = state_.AsOwner();
    if (record.instance_ == state_.self_.instance_ && !record.resigned_) {
      if (owning == nullptr) {
        AcquireOwnership(record.epoch_, state_.appendSentAt_.value_or(now_));
      }
    } else if (owning != nullptr) {
      LoseOwnership("another daemon has claimed");
    }
    if (isNew) {
      AnnounceOwner(record);
    }
  }

  /// Returns whether the record is of another process or epoch than the one
  /// before.
  bool SetOwner(OwnerRecord aRecord)
  {
    KeepShardCount(aRecord);
    const bool isNew = !state_.owner_ ||
                       state_.owner_->instance_ != aRecord.instance_ ||
                       state_.owner_->epoch_ != aRecord.epoch_;
    state_.owner_ = std::move(aRecord);
    return isNew;
  }

  void AnnounceOwner(const OwnerRecord& aOwner)
  {
    state_.ownerSince_ = now_;
    effects_.push_back(
      LogLine{ LogLevel::Info,
               "owner_changed",
               { { "owner", aOwner.daemon_.Value() },
                 { "millicores", std::to_string(aOwner.vmCpu_.Value()) },
                 { "epoch", std::to_string(aOwner.epoch_.Value()) },
                 { "offset", std::to_string(state_.end_.Value()) } } });
    effects_.push_back(Raise{ OwnerChanged{} });
  }

  // The number is never changed: each job and each VM belongs to one shard for
  // good.
  void KeepShardCount(OwnerRecord& aRecord)
  {
    if (state_.publishedShards_ == ShardCount{} &&
        aRecord.shards_ != ShardCount{}) {
      PublishShardCount(aRecord.shards_);
    }
    aRecord.shards_ = state_.publishedShards_;
  }

  void ConfirmAppendedShards()
  {
    if (state_.appendedShards_ != ShardCount{}) {
      PublishShardCount(state_.appendedShards_);
    }
  }

  void PublishShardCount(ShardCount aShards)
  {
    state_.publishedShards_ = aShards;
    state_.self_.shards_ = aShards;
  }

  void Claim(const char* aReason)
  {
    state_.role_ = Claiming{};
    state_.claimsFromLiveOwner_ =
      state_.owner_ && !state_.owner_->resigned_ &&
      state_.owner_->daemon_ != state_.self_.daemon_ &&
      now_ - state_.renewedAt_ < kOwnerTimeout;
    DrawClaimJitter();
    effects_.push_back(LogLine{
      LogLevel::Info,
      "owner_claim",
      { { "offset", std::to_string(state_.end_.Value()) },
        { "reason", aReason },
        { "millicores", std::to_string(state_.self_.vmCpu_.Value()) },
        { "silent_ms",
          std::to_string(std::chrono::duration_cast<std::chrono::milliseconds>(
                           now_ - state_.renewedAt_)
                           .count()) } } });
    Append();
  }

  void Append()
  {
    OwnerRecord record = state_.self_;
    if (const auto* owning = state_.AsOwner()) {
      record.epoch_ = owning->epoch_;
      record.resigned_ = state_.isStopping_;
      for (const auto& [number, wave] : views_.maintenance_.waves_) {
        if (wave.wave_.scope_ != WaveScope::All &&
            views_.maintenance_.HasEnded(number)) {
          record.endedWaves_.push_back(number);
        }
      }
    }
    state_.appendSentAt_ = now_;
    state_.appendedShards_ = record.shards_;
    effects_.push_back(AppendOwner{ std::move(record), state_.end_ });
  }

  void AcquireOwnership(Epoch aEpoch, TimePoint aSentAt)
  {
    state_.role_ = Owning{
      aEpoch, aSentAt, now_, std::exchange(state_.claimsFromLiveOwner_, false)
    };
    state_.owner_ = state_.self_;
    state_.owner_->epoch_ = aEpoch;
    ConfirmAppendedShards();
    state_.renewedAt_ = now_;
    effects_.push_back(Count{ Counter::OwnershipsTaken });
    effects_.push_back(
      LogLine{ LogLevel::Info,
               "ownership_taken",
               { { "epoch", std::to_string(aEpoch.Value()) } } });
    effects_.push_back(Raise{ OwnershipTaken{ aEpoch } });
    effects_.push_back(Raise{ OwnerChanged{} });
    effects_.push_back(SetTimer{ OwnershipTick{}, kRenewalInterval });
  }

  void LoseOwnership(const char* aReason)
  {
    state_.role_ = Following{};
    state_.readingSince_ = now_;
    if (state_.owner_ && IsOwnRecord(state_, *state_.owner_)) {
      state_.owner_->resigned_ = true;
    }
    // The next owner may decide on another number than an unpublished one.
    state_.self_.shards_ = state_.publishedShards_;
    effects_.push_back(Count{ Counter::OwnershipsLost });
    effects_.push_back(LogLine{
      LogLevel::Warning, "ownership_lost", { { "reason", aReason } } });
    effects_.push_back(Raise{ OwnershipLost{} });
  }

  OwnershipState& state_;
  const Views& views_;
  TimePoint now_;
  Effects& effects_;
};

} // namespace

void
ReduceOwnership(OwnershipState& aState,
                const Views& aViews,
                const Event& aEvent,
                const Context& aContext,
                Effects& aEffects)
{
  Reducer reducer{ aState, aViews, aContext, aEffects };
  std::visit([&](const auto& aKnown) { reducer.On(aKnown); }, aEvent);
}

} // namespace verbenawell::jobs
