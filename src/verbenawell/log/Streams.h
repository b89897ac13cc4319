#pragma once

#include "verbenawell/core/Ids.h"

namespace verbenawell {

/// Changes to pools, services, VMs, waves and settings.
const StreamId&
FleetStream();

/// Snapshots of the fleet state.
const StreamId&
SnapshotStream();

/// Intents of non-idempotent requests of one pool.
StreamId
IntentStream(const PoolId& aPool);

} // namespace verbenawell
