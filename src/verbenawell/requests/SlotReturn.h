#pragma once

#include "verbenawell/requests/Messages.h"
#include "verbenawell/requests/OwnerScope.h"

namespace verbenawell {

/// Frees the slot of an attempt that has ended.
void
ReleaseSlot(OwnerScope& aScope, const SlotRelease& aRelease);

/// Raises `PoolDrained` where the VM takes no new work and runs none.
void
ReportIfDrained(OwnerScope& aScope, const VmId& aVm);

} // namespace verbenawell
