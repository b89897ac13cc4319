#include "verbenawell/jobs/sharding/ReduceShards.h"

#include "verbenawell/core/Overloaded.h"
#include "verbenawell/jobs/core/Reduce.h"
#include "verbenawell/jobs/sharding/DaemonState.h"
#include "verbenawell/jobs/sharding/Shards.h"
#include "verbenawell/jobs/sharding/internal/DaemonDecisions.h"
#include "verbenawell/jobs/sharding/internal/FleetLists.h"
#include "verbenawell/jobs/sharding/internal/PeerPolls.h"
#include "verbenawell/jobs/sharding/internal/PendingSums.h"
#include "verbenawell/jobs/sharding/internal/SharedWaves.h"
#include "verbenawell/jobs/sharding/internal/StrandedJobs.h"

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <iterator>
#include <string>
#include <utility>

namespace verbenawell::jobs {

namespace {

using namespace std::chrono_literals;

constexpr ShardIndex kFirstShard{ 0 };
constexpr Duration kExitPoll = 100ms;
// Requests of a shard's owner to another shard have keys of their own, beyond
// those of the daemon's callers.
constexpr std::uint64_t kFirstShardRequest = std::uint64_t{ 1 } << 63U;
constexpr Duration kShardRequestTimeout = 3s;

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
    ApplyConfiguration(records);
    AssignWaves();
  }

  void On(ShardIndex, const PeerReportReceived& aReceived)
  {
    ApplyConfiguration(aReceived);
    for (const KnownOwner& known : aReceived.report_.owners_) {
      if (known.shard_.Value() < Size()) {
        Apply(known.shard_, OwnerReported{ known.owner_, known.renewalAge_ });
      }
    }
  }

  void On(ShardIndex aShard, const OwnerRead& aRead)
  {
    CompareWithOtherShards(state_, aShard);
    Apply(aShard, aRead);
    RememberOwner(state_, aShard);
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
    if (JobsStranded stranded =
          FindStrandedJobs(state_, aShard, aRead, context_.now_);
        !stranded.jobs_.empty()) {
      Apply(aShard, std::move(stranded));
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
        [&](SendResponse& aResponse) {
          return IsPartOfSum(state_, aResponse) || IsForShard(aResponse);
        },
        [&](const PollPeers& aPoll) {
          AddRequestsToPeers(state_, aPoll.known_, effects_);
          return true;
        },
        [&](SendPeerReport& aReport) {
          aReport.report_.owners_ = KnownOwners(state_, context_.now_);
          return false;
        },
        [&](RedirectRequest& aRedirect) {
          const ShardIndex shard = aRedirect.request_.shard_;
          ApplyRequest(shard,
                       { aRedirect.key_,
                         std::move(aRedirect.request_),
                         aRedirect.timeLeft_,
                         false });
          return true;
        },
        [&](RequestFromShard& aRequest) {
          SendFromShard(aShard, std::move(aRequest));
          return true;
        },
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

  void ApplyRequest(ShardIndex aShard, const CallerRequested& aRequest)
  {
    if (aShard.Value() < Size()) {
      Apply(aShard, aRequest);
    } else {
      effects_.push_back(
        { kFirstShard, SendResponse{ aRequest.key_, NotOwner{} } });
    }
  }

  void SendFromShard(ShardIndex aFrom, RequestFromShard aRequest)
  {
    const RequestKey key{ kFirstShardRequest + state_.lastShardRequest_++ };
    state_.shardRequests_[key] = { aFrom, JobOf(aRequest.action_) };
    CallerRequest request;
    request.action_ = std::move(aRequest.action_);
    request.shard_ = aRequest.to_;
    ApplyRequest(aRequest.to_,
                 { key, std::move(request), kShardRequestTimeout, false });
  }

  // Passes the response to a request of a shard's owner on to that shard.
  bool IsForShard(const SendResponse& aResponse)
  {
    const auto found = state_.shardRequests_.find(aResponse.key_);
    if (found == state_.shardRequests_.end()) {
      return false;
    }
    const ShardRequest request = found->second;
    state_.shardRequests_.erase(found);
    Apply(request.from_, ShardResponded{ request.job_, aResponse.response_ });
    return true;
  }

  [[nodiscard]] std::optional<ConfigurationVersion> VersionInUse() const
  {
    const auto& first = state_.shards_.front().configuration_.configuration_;
    return first ? std::optional{ first->version_ } : std::nullopt;
  }

  void ApplyConfiguration(const Event& aEvent)
  {
    const auto before = VersionInUse();
    Apply(kFirstShard, aEvent);
    if (VersionInUse() == before) {
      return;
    }
    const Configuration configuration =
      *state_.shards_.front().configuration_.configuration_;
    for (std::uint32_t index = 1; index < Size(); ++index) {
      Apply(ShardIndex{ index }, ConfigurationShared{ configuration });
    }
  }

  void Route(CallerRequested aRequest)
  {
    RememberSender(state_, aRequest);
    if (!state_.count_) {
      std::ranges::move(RejectionWithoutShards(aRequest),
                        std::back_inserter(effects_));
    } else if (aRequest.forwarded_) {
      // The job may have been handed over to this shard.
      ApplyRequest(aRequest.request_.shard_, aRequest);
    } else if (const auto shard =
                 ShardOf(aRequest.request_.action_, *state_.count_);
               shard) {
      aRequest.request_.shard_ = *shard;
      Apply(*shard, aRequest);
    } else {
      RequestSum(aRequest);
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

  void DecideShardCount(std::optional<std::size_t> aVms)
  {
    const auto count = ShardCountToPublish(state_, aVms, context_.now_);
    if (!count) {
      return;
    }
    effects_.push_back(
      { kFirstShard, ShardsDecidedLine(state_, *count, aVms) });
    Apply(kFirstShard, ShardCountDecided{ *count });
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
    for (std::uint32_t index = 0; index < Size(); ++index) {
      const ShardIndex shard{ index };
      Apply(shard, ShardAssigned{ shard, published });
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
    added.estimates_.use_ = first.estimates_.use_;
    added.configuration_.configuration_ = first.configuration_.configuration_;
    state_.shards_.push_back(std::move(added));
    Apply(shard, Started{});
    if (state_.isStopping_) {
      Apply(shard, StopRequested{});
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
