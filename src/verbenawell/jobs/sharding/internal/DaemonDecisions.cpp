#include "verbenawell/jobs/sharding/internal/DaemonDecisions.h"

#include "verbenawell/jobs/sharding/DaemonState.h"

#include <cstdint>
#include <variant>

namespace verbenawell::jobs {

namespace {

using namespace std::chrono_literals;

constexpr ShardIndex kFirstShard{ 0 };
// The number of shards is known a few milliseconds after a daemon has started,
// or once a new deployment has its first owner.
constexpr Duration kRetryAfterNoShards = 2s;

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
