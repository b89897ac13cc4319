#pragma once

#include "verbenawell/core/Time.h"
#include "verbenawell/jobs/core/Effect.h"

#include <vector>

namespace verbenawell::jobs {

struct DaemonState;

/// The requests by which a daemon that cannot read the store asks the owners of
/// all shards and some other daemons.
std::vector<RequestPeerReport>
RequestsToPeers(DaemonState& aState, ConfigurationVersion aKnown);

/// The owners of all shards as this daemon knows them.
std::vector<KnownOwner>
KnownOwners(const DaemonState& aState, TimePoint aNow);

} // namespace verbenawell::jobs
