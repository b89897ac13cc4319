#pragma once

#include "verbenawell/core/Ids.h"
#include "verbenawell/jobs/callers/CallerRequest.h"
#include "verbenawell/jobs/model/Configuration.h"
#include "verbenawell/jobs/model/Ids.h"

#include <cstddef>
#include <optional>

namespace verbenawell::jobs {

/// The number of shards for a deployment of this many VMs; at least 1.
ShardCount
ShardCountFor(std::size_t aVms);

/// The shard to which a job belongs for good.
ShardIndex
ShardOf(const JobId& aJob, ShardCount aCount);

/// The shard to which a VM belongs for good, whatever its pool.
ShardIndex
ShardOf(const VmId& aVm, ShardCount aCount);

/// The shard whose owner decides on a request; empty for a request to all
/// shards.
std::optional<ShardIndex>
ShardOf(const CallerAction& aAction, ShardCount aCount);

/// A shard's part of a wave, with its share of the limit of VMs that may be
/// down at the same time, at least 1. If the wave permits fewer VMs than there
/// are shards, the parts take turns.
Wave
PartOf(const Wave& aWave, ShardIndex aShard, ShardCount aCount);

/// The shard whose part of the wave has to end before this shard's part begins;
/// empty if it may begin at once.
std::optional<ShardIndex>
TurnAfter(const Wave& aWave, ShardIndex aShard, ShardCount aCount);

} // namespace verbenawell::jobs
