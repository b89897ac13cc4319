#pragma once

#include "verbenawell/core/Context.h"
#include "verbenawell/core/Effect.h"
#include "verbenawell/core/Views.h"

namespace verbenawell {

struct FleetState;

/// Applies the records of the fleet stream to the fleet state. The daemon that
/// owns the fleet records also appends the differences between the platform's
/// VM list and the fleet state to the stream.
void
ReduceFleet(FleetState& aFleet,
            const Views& aViews,
            const Event& aEvent,
            const Context& aContext,
            Effects& aEffects);

} // namespace verbenawell
