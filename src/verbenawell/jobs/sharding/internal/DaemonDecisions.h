#pragma once

#include "verbenawell/jobs/callers/CallerEvents.h"
#include "verbenawell/jobs/sharding/ReduceShards.h"

#include <vector>

namespace verbenawell::jobs {

struct DaemonState;

/// Responds to a request while the number of shards is unknown.
std::vector<ShardEffect>
RejectionWithoutShards(const CallerRequested& aRequest);

/// Tells the state of a shard which other shards this daemon and the shard's
/// owner own.
void
CompareWithOtherShards(DaemonState& aState, ShardIndex aShard);

} // namespace verbenawell::jobs
