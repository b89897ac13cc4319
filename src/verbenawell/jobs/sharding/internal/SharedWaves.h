#pragma once

#include "verbenawell/jobs/sharding/ReduceShards.h"

#include <vector>

namespace verbenawell::jobs {

/// Returns the events that pass parts of operators' waves to the shards whose
/// turn has come, and those that tell the first shard that the others have
/// ended a wave.
std::vector<ShardEvent>
WaveEvents(const DaemonState& aState);

} // namespace verbenawell::jobs
