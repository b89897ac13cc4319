#pragma once

#include "verbenawell/core/Context.h"
#include "verbenawell/jobs/core/Effect.h"
#include "verbenawell/jobs/model/Ids.h"

#include <vector>

namespace verbenawell::jobs {

struct DaemonState;

struct ShardEvent
{
  ShardIndex shard_;
  Event event_;
};

struct ShardEffect
{
  ShardIndex shard_;
  Effect effect_;
};

/// Applies one event to the state of a daemon and returns the effects to
/// execute, in order. Events that concern the whole daemon, such as requests of
/// callers and records of operators, are passed with the first shard.
std::vector<ShardEffect>
ReduceShards(DaemonState& aState,
             const ShardEvent& aEvent,
             const Context& aContext);

} // namespace verbenawell::jobs
