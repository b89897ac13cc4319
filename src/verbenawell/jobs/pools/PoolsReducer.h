#pragma once

#include "verbenawell/core/Context.h"
#include "verbenawell/jobs/core/Effect.h"
#include "verbenawell/jobs/core/Views.h"

namespace verbenawell::jobs {

struct PoolsState;

/// Moves VMs to the pools that need more, and borrowed VMs back to their home
/// pools.
void
ReducePools(PoolsState& aState,
            const Views& aViews,
            const Event& aEvent,
            const Context& aContext,
            Effects& aEffects);

} // namespace verbenawell::jobs
