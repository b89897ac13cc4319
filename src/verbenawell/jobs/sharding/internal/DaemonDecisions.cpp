#include "verbenawell/jobs/sharding/internal/DaemonDecisions.h"

#include "verbenawell/jobs/sharding/DaemonState.h"
#include "verbenawell/jobs/sharding/Shards.h"

#include <cstdint>
#include <string>
#include <variant>

namespace verbenawell::jobs {

namespace {

using namespace std::chrono_literals;

constexpr ShardIndex kFirstShard{ 0 };
// The number of shards is known a few milliseconds after a daemon has started,
// or once a new deployment has its first owner.
constexpr Duration kRetryAfterNoShards = 2s;
// Time after which the owner of a new deployment no longer waits for the list
// of VMs.
constexpr Duration kMaxWaitForVms = 10s;

/// Returns whether the journal of the first shard holds records.
bool
HasUsedJournal(const DaemonState& aState)
{
  const State& first = aState.shards_.front();
  return !first.tasks_.jobs_.empty() || !first.tasks_.endedJobs_.empty() ||
         !first.workers_.workers_.empty();
}

} // namespace

std::vector<ShardEffect>
RejectionWithoutShards(const CallerRequested& aRequest)
{
  std::vector<ShardEffect> effects;
  const CallerResponse response =
    aRequest.forwarded_
      ? CallerResponse{ NotOwner{} }
      : JobRejected{ RejectReason::NoOwner, kRetryAfterNoShards };
  effects.push_back({ kFirstShard, Count{ Counter::RequestsReceived } });
  if (!aRequest.forwarded_) {
    effects.push_back({ kFirstShard, Count{ RejectReason::NoOwner } });
  }
  effects.push_back({ kFirstShard, SendResponse{ aRequest.key_, response } });
  return effects;
}

// The number is decided before the first job and the first command to a worker.
// A journal with content is that of a version without shards.
std::optional<ShardCount>
ShardCountToPublish(const DaemonState& aState,
                    std::optional<std::size_t> aVms,
                    TimePoint aNow)
{
  const State& first = aState.shards_.front();
  const Owning* owning = first.ownership_.AsOwner();
  if (aState.count_ || owning == nullptr || !first.journal_.IsReady() ||
      first.ownership_.self_.shards_ != ShardCount{}) {
    return std::nullopt;
  }
  if (HasUsedJournal(aState)) {
    return ShardCount{ 1 };
  }
  if (!aVms && aState.hasVmList_ && aNow - owning->takenAt_ < kMaxWaitForVms) {
    return std::nullopt;
  }
  return aVms ? ShardCountFor(*aVms) : ShardCount{ 1 };
}

LogLine
ShardsDecidedLine(const DaemonState& aState,
                  ShardCount aCount,
                  std::optional<std::size_t> aVms)
{
  return { LogLevel::Info,
           "shards_decided",
           { { "shards", std::to_string(aCount.Value()) },
             { "vms", aVms ? std::to_string(*aVms) : "unknown" },
             { "journal", HasUsedJournal(aState) ? "in use" : "empty" } } };
}

void
CompareWithOtherShards(DaemonState& aState, ShardIndex aShard)
{
  OwnershipState& own = aState.shards_[aShard.Value()].ownership_;
  own.ownedElsewhere_ = 0;
  own.isOwnerBusyElsewhere_ = false;
  for (std::uint32_t index = 0; index < aState.shards_.size(); ++index) {
    const OwnershipState& other = aState.shards_[index].ownership_;
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

} // namespace verbenawell::jobs
