#pragma once

#include "verbenawell/requests/OwnerScope.h"
#include "verbenawell/requests/OwnerState.h"
#include "verbenawell/requests/RequestHead.h"

namespace verbenawell {

/// Requests the usage of the workers in this daemon's pools from the platform.
void
RequestUsage(OwnerScope& aScope);

/// Learns from the usage reports, and counts reports that are missing or too
/// old.
void
ApplyUsage(OwnerScope& aScope, const UsageRead& aRead);

/// Drops usage values that are too old to compare workers by.
void
ExpireUsage(OwnerScope& aScope, PoolQueue& aQueue);

/// Drops the usage data of a VM that has left the pool.
void
DropUsage(PoolQueue& aQueue, const VmId& aVm);

/// The declared size with the learned correction, which may exceed the size of
/// every worker.
Resources
CorrectedSize(const PoolQueue& aQueue,
              const ServiceId& aService,
              const Resources& aDeclared);

/// Resources to reserve for a request: the corrected size, limited to the size
/// of a worker.
Resources
ReservedSize(const PoolQueue& aQueue,
             const ServiceId& aService,
             const Resources& aDeclared);

} // namespace verbenawell
