#pragma once

#include "verbenawell/core/Ids.h"

namespace verbenawell {

/// Pools, services, VMs, waves and settings.
const StreamId&
FleetStream();

/// Snapshots of the fleet stream's fold.
const StreamId&
SnapshotStream();

/// Intents of non-idempotent requests of one pool.
StreamId
IntentStream(const PoolId& aPool);

} // namespace verbenawell
