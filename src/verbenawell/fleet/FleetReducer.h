#pragma once

#include "verbenawell/core/Context.h"
#include "verbenawell/core/Effect.h"
#include "verbenawell/core/Views.h"

namespace verbenawell {

struct FleetState;

/// Folds the fleet stream; the daemon that owns the fleet's records also
/// writes the platform's VM list into it.
void
ReduceFleet(FleetState& aFleet,
            const Views& aViews,
            const Event& aEvent,
            const Context& aContext,
            Effects& aEffects);

} // namespace verbenawell
