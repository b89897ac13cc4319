#pragma once

#include "verbenawell/core/Ids.h"
#include "verbenawell/requests/OwnerScope.h"

namespace verbenawell {

struct PoolQueue;

/// Grants slots in the order of the queue until none is free.
void
GrantFreeSlots(OwnerScope& aScope, const PoolId& aPool, PoolQueue& aQueue);

} // namespace verbenawell
