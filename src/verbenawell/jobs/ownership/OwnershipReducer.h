#pragma once

#include "verbenawell/core/Context.h"
#include "verbenawell/jobs/core/Effect.h"
#include "verbenawell/jobs/core/Views.h"

namespace verbenawell::jobs {

struct OwnershipState;

/// Claims, renews and resigns the ownership of the deployment: only the owner
/// decides on jobs, workers and VMs.
void
ReduceOwnership(OwnershipState& aState,
                const Views& aViews,
                const Event& aEvent,
                const Context& aContext,
                Effects& aEffects);

} // namespace verbenawell::jobs
