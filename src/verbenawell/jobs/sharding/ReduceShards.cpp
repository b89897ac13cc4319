#include "verbenawell/jobs/sharding/ReduceShards.h"

#include "verbenawell/core/Overloaded.h"
#include "verbenawell/jobs/core/Reduce.h"
#include "verbenawell/jobs/sharding/DaemonState.h"
#include "verbenawell/jobs/sharding/Shards.h"
#include "verbenawell/jobs/sharding/internal/FleetLists.h"
#include "verbenawell/jobs/sharding/internal/SharedWaves.h"

#include <algorithm>
#include <chrono>
#include <string>
#include <utility>

namespace verbenawell::jobs {

namespace {

using namespace std::chrono_literals;

constexpr ShardIndex kFirstShard{ 0 };
// Time after which the owner of a new deployment no longer waits for the list
// of VMs.
constexpr Duration kMaxWaitForVms = 10s;
// The number of shards is known a few milliseconds after a daemon has started,
// or once a new deployment has its first owner.
constexpr Duration kRetryAfterNoShards = 2s;
constexpr Duration kExitPoll = 100ms;

class Reducer
{
public:
  Reducer(DaemonState& aState,
          const Context& aContext,
          std::vector<ShardEffect>& aEffects)
    : state_(aState)
    , context_(aContext)
    , effects_(aEffects)
  {
  }

  void On(ShardIndex, const CallerRequested& aRequest) { Route(aRequest); }

  void On(ShardIndex, const CallerDisconnected& aDisconnected)
  {
    state_.pendingSums_.erase(aDisconnected.key_);
    ApplyToAll(aDisconnected);
  }

  void On(ShardIndex, const StopRequested& aStop)
  {
    state_.isStopping_ = true;
    ApplyToAll(aStop);
  }

  void On(ShardIndex, const LoopDelayMeasured& aDelay) { ApplyToAll(aDelay); }

  void On(ShardIndex, const OperatorRecordsRead& aRead)
  {
    for (const Wave& wave : aRead.waves_) {
      state_.waves_.emplace(wave.number_, wave);
    }
    OperatorRecordsRead records = aRead;
    records.waves_.clear();
    const auto before = VersionInUse();
    Apply(kFirstShard, records);
    if (VersionInUse() != before) {
      ShareConfiguration();
    }
    AssignWaves();
  }

  void On(ShardIndex aShard, const OwnerRead& aRead)
  {
    CompareWithOtherShards(aShard);
    Apply(aShard, aRead);
    LearnShardCount();
    AssignWaves();
  }

  void On(ShardIndex aShard, const OwnerAppended& aAppended)
  {
    Apply(aShard, aAppended);
    LearnShardCount();
  }

  void On(ShardIndex aShard, const JournalPageRead& aPage)
  {
    Apply(aShard, aPage);
    DecideShardCount(std::nullopt);
  }

  void On(ShardIndex aShard, const TimerDue& aDue)
  {
    Apply(aShard, aDue);
    if (!state_.count_ && std::holds_alternative<MaintenanceTick>(aDue.key_)) {
      DecideShardCount(std::nullopt);
    }
  }

  void On(ShardIndex aShard, const VmsRead& aRead)
  {
    if (!state_.count_) {
      if (!aRead.vms_.empty()) {
        DecideShardCount(aRead.vms_.size());
      }
      Apply(aShard, VmsReadFailed{});
      return;
    }
    RecordWorkersOfVms(state_, aRead);
    Apply(aShard, VmsOf(aShard, *state_.count_, aRead));
    if (HasFoundVms(state_)) {
      effects_.push_back({ aShard, ReadWorkers{} });
    }
  }

  // Until the number of shards is known, no worker may get the epoch of the
  // first one.
  void On(ShardIndex aShard, const WorkersRead& aRead)
  {
    if (!state_.count_) {
      Apply(aShard, WorkersRead{});
      return;
    }
    const WorkerSelection selection = SelectWorkers(state_, aShard, aRead);
    Apply(aShard, selection.workers_);
    if (selection.needsVmList_) {
      Apply(aShard, VmListRequired{});
    }
  }

  template<typename Other>
  void On(ShardIndex aShard, const Other& aEvent)
  {
    Apply(aShard, aEvent);
  }

private:
  State& StateOf(ShardIndex aShard) { return state_.shards_[aShard.Value()]; }

  [[nodiscard]] std::uint32_t Size() const
  {
    return static_cast<std::uint32_t>(state_.shards_.size());
  }

  void Apply(ShardIndex aShard, const Event& aEvent)
  {
    for (Effect& effect : Reduce(StateOf(aShard), aEvent, context_)) {
      Collect(aShard, std::move(effect));
    }
  }

  void ApplyToAll(const Event& aEvent)
  {
    for (std::uint32_t index = 0; index < Size(); ++index) {
      Apply(ShardIndex{ index }, aEvent);
    }
  }

  void Collect(ShardIndex aShard, Effect aEffect)
  {
    const bool isHandled = std::visit(
      Overloaded{
        // The records of operators are read once for all shards.
        [&](const ReadNewestOperatorRecords&) { return aShard != kFirstShard; },
        [&](const ReadOperatorRecords&) { return aShard != kFirstShard; },
        [&](const SetTimer& aTimer) {
          return aShard != kFirstShard &&
                 std::holds_alternative<ConfigurationRetry>(aTimer.key_);
        },
        [&](SendResponse& aResponse) { return IsPartOfSum(aResponse); },
        [&](const Exit&) { return MustWaitForOtherShards(aShard); },
        [&](LogLine& aLine) {
          if (Size() > 1) {
            aLine.fields_.emplace_back("shard", std::to_string(aShard.Value()));
          }
          return false;
        },
        [](const auto&) { return false; } },
      aEffect);
    if (!isHandled) {
      effects_.push_back({ aShard, std::move(aEffect) });
    }
  }

  // A shard with open requests ends the process only when its time is over. One
  // without asks again, since a request may still reach it.
  bool MustWaitForOtherShards(ShardIndex aShard)
  {
    const bool isAnyOpen =
      std::ranges::any_of(state_.shards_, [](const State& aState) {
        return !aState.callers_.open_.empty();
      });
    if (!isAnyOpen || !StateOf(aShard).callers_.open_.empty()) {
      effects_.push_back({ aShard, LogLine{ LogLevel::Info, "stopped", {} } });
      return false;
    }
    effects_.push_back({ aShard, SetTimer{ ExitTick{}, kExitPoll } });
    return true;
  }

  // Adds the response of one shard to the sum of all; the last one sends it.
  bool IsPartOfSum(SendResponse& aResponse)
  {
    const auto found = state_.pendingSums_.find(aResponse.key_);
    if (found == state_.pendingSums_.end()) {
      return false;
    }
    const auto* pending =
      std::get_if<PendingJobsReported>(&aResponse.response_);
    if (pending == nullptr) {
      state_.pendingSums_.erase(found);
      return false;
    }
    found->second.jobs_ += pending->jobs_;
    if (--found->second.missing_ > 0) {
      return true;
    }
    aResponse.response_ = PendingJobsReported{ found->second.jobs_ };
    state_.pendingSums_.erase(found);
    return false;
  }

  [[nodiscard]] std::optional<ConfigurationVersion> VersionInUse() const
  {
    const auto& first = state_.shards_.front().configuration_.configuration_;
    return first ? std::optional{ first->version_ } : std::nullopt;
  }

  void ShareConfiguration()
  {
    const Configuration configuration =
      *state_.shards_.front().configuration_.configuration_;
    for (std::uint32_t index = 1; index < Size(); ++index) {
      Apply(ShardIndex{ index }, ConfigurationShared{ configuration });
    }
  }

  void Route(CallerRequested aRequest)
  {
    if (!state_.count_) {
      RejectWithoutShards(aRequest);
    } else if (const auto shard =
                 ShardOf(aRequest.request_.action_, *state_.count_);
               shard) {
      aRequest.request_.shard_ = *shard;
      Apply(*shard, aRequest);
    } else if (!aRequest.forwarded_) {
      RequestSum(aRequest);
    } else if (aRequest.request_.shard_.Value() < Size()) {
      Apply(aRequest.request_.shard_, aRequest);
    } else {
      effects_.push_back(
        { kFirstShard, SendResponse{ aRequest.key_, NotOwner{} } });
    }
  }

  void RequestSum(CallerRequested aRequest)
  {
    if (Size() > 1) {
      state_.pendingSums_[aRequest.key_] = { Size(), 0 };
    }
    for (std::uint32_t index = 0; index < Size(); ++index) {
      aRequest.request_.shard_ = ShardIndex{ index };
      Apply(aRequest.request_.shard_, aRequest);
    }
  }

  void RejectWithoutShards(const CallerRequested& aRequest)
  {
    const CallerResponse response =
      aRequest.forwarded_
        ? CallerResponse{ NotOwner{} }
        : JobRejected{ RejectReason::NoOwner, kRetryAfterNoShards };
    effects_.push_back({ kFirstShard, Count{ Counter::RequestsReceived } });
    if (!aRequest.forwarded_) {
      effects_.push_back({ kFirstShard, Count{ RejectReason::NoOwner } });
    }
    effects_.push_back(
      { kFirstShard, SendResponse{ aRequest.key_, response } });
  }

  // The number is decided before the first job and the first command to a
  // worker. A journal with content is that of a version without shards.
  void DecideShardCount(std::optional<std::size_t> aVms)
  {
    const State& first = state_.shards_.front();
    const Owning* owning = first.ownership_.AsOwner();
    if (state_.count_ || owning == nullptr || !first.journal_.IsReady() ||
        first.ownership_.self_.shards_ != ShardCount{}) {
      return;
    }
    const bool isNew = first.tasks_.jobs_.empty() &&
                       first.tasks_.endedJobs_.empty() &&
                       first.workers_.workers_.empty();
    if (isNew && !aVms && state_.hasVmList_ &&
        context_.now_ - owning->takenAt_ < kMaxWaitForVms) {
      return;
    }
    const ShardCount count =
      isNew && aVms ? ShardCountFor(*aVms) : ShardCount{ 1 };
    effects_.push_back(
      { kFirstShard,
        LogLine{ LogLevel::Info,
                 "shards_decided",
                 { { "shards", std::to_string(count.Value()) },
                   { "vms", aVms ? std::to_string(*aVms) : "unknown" },
                   { "journal", isNew ? "empty" : "in use" } } } });
    Apply(kFirstShard, ShardCountDecided{ count });
  }

  void LearnShardCount()
  {
    const ShardCount published =
      state_.shards_.front().ownership_.publishedShards_;
    if (state_.count_ || published == ShardCount{}) {
      return;
    }
    state_.count_ = published;
    while (Size() < published.Value()) {
      AddShard();
    }
    if (state_.shards_.front().workers_.isActive_) {
      effects_.push_back({ kFirstShard, ReadWorkers{} });
      Apply(kFirstShard, VmListRequired{});
    }
    AssignWaves();
  }

  void AddShard()
  {
    const ShardIndex shard{ Size() };
    State added;
    State& first = state_.shards_.front();
    added.ownership_.self_ = first.ownership_.self_;
    added.ownership_.random_ = Random{ first.ownership_.random_() };
    added.configuration_.configuration_ = first.configuration_.configuration_;
    state_.shards_.push_back(std::move(added));
    Apply(shard, Started{});
    if (state_.isStopping_) {
      Apply(shard, StopRequested{});
    }
  }

  void CompareWithOtherShards(ShardIndex aShard)
  {
    OwnershipState& own = StateOf(aShard).ownership_;
    own.ownedElsewhere_ = 0;
    own.isOwnerBusyElsewhere_ = false;
    for (std::uint32_t index = 0; index < Size(); ++index) {
      const OwnershipState& other = state_.shards_[index].ownership_;
      if (ShardIndex{ index } == aShard) {
        continue;
      }
      if (!std::holds_alternative<Following>(other.role_)) {
        ++own.ownedElsewhere_;
      }
      if (index < aShard.Value() && own.owner_ && other.owner_ &&
          !other.owner_->resigned_ &&
          own.owner_->daemon_ == other.owner_->daemon_) {
        own.isOwnerBusyElsewhere_ = true;
      }
    }
  }

  void AssignWaves()
  {
    for (const auto& [shard, event] : WaveEvents(state_)) {
      Apply(shard, event);
    }
  }

  DaemonState& state_;
  const Context& context_;
  std::vector<ShardEffect>& effects_;
};

} // namespace

std::vector<ShardEffect>
ReduceShards(DaemonState& aState,
             const ShardEvent& aEvent,
             const Context& aContext)
{
  std::vector<ShardEffect> effects;
  Reducer reducer{ aState, aContext, effects };
  std::visit([&](const auto& aKnown) { reducer.On(aEvent.shard_, aKnown); },
             aEvent.event_);
  return effects;
}

} // namespace verbenawell::jobs
