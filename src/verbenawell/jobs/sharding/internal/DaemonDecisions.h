#pragma once

#include "verbenawell/core/LogLine.h"
#include "verbenawell/jobs/callers/CallerEvents.h"
#include "verbenawell/jobs/sharding/ReduceShards.h"

#include <cstddef>
#include <optional>
#include <vector>

namespace verbenawell::jobs {

struct DaemonState;

/// Responds to a request while the number of shards is unknown.
std::vector<ShardEffect>
RejectionWithoutShards(const CallerRequested& aRequest);

/// The number of shards that the owner of the first one decides on now; empty
/// if it is decided, or decided later. `aVms` is the number of VMs if it is
/// known.
std::optional<ShardCount>
ShardCountToPublish(const DaemonState& aState,
                    std::optional<std::size_t> aVms,
                    TimePoint aNow);

/// The log line about the number of shards that was decided on.
LogLine
ShardsDecidedLine(const DaemonState& aState,
                  ShardCount aCount,
                  std::optional<std::size_t> aVms);

/// Tells the state of a shard which other shards this daemon and the shard's
/// owner own.
void
CompareWithOtherShards(DaemonState& aState, ShardIndex aShard);

} // namespace verbenawell::jobs
