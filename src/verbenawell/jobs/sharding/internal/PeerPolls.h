#pragma once

#include "verbenawell/core/Time.h"
#include "verbenawell/jobs/sharding/ReduceShards.h"

#include <vector>

namespace verbenawell::jobs {

struct DaemonState;

/// Keeps the address of a shard's owner, which may be asked after it has lost
/// the ownership.
void
RememberOwner(DaemonState& aState, ShardIndex aShard);

/// Keeps the address of the daemon that forwarded a request.
void
RememberSender(DaemonState& aState, const CallerRequested& aRequest);

/// Adds the requests by which a daemon that cannot read the store asks the
/// owners of all shards and some other daemons.
void
AddRequestsToPeers(DaemonState& aState,
                   ConfigurationVersion aKnown,
                   std::vector<ShardEffect>& aEffects);

/// The owners of all shards as this daemon knows them.
std::vector<KnownOwner>
KnownOwners(const DaemonState& aState, TimePoint aNow);

} // namespace verbenawell::jobs
