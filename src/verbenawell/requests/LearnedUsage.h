#pragma once

#include "verbenawell/requests/OwnerScope.h"
#include "verbenawell/requests/OwnerState.h"
#include "verbenawell/requests/RequestHead.h"

namespace verbenawell {

/// Asks the platform for the usage of the workers of the pools owned here.
void
RequestUsage(OwnerScope& aScope);

/// Learns from the reports and counts those that are missing or old.
void
ApplyUsage(OwnerScope& aScope, const UsageRead& aRead);

/// Drops figures that are too old to compare workers by.
void
ExpireUsage(OwnerScope& aScope, PoolQueue& aQueue);

/// Drops what is known of a VM that left the pool.
void
ForgetUsage(PoolQueue& aQueue, const VmId& aVm);

/// The declared size with the learned correction, whatever the workers have.
Resources
CorrectedSize(const PoolQueue& aQueue,
              const ServiceId& aService,
              const Resources& aDeclared);

/// What is reserved for a request: the corrected size, at most a whole worker.
Resources
ReservedSize(const PoolQueue& aQueue,
             const ServiceId& aService,
             const Resources& aDeclared);

} // namespace verbenawell
