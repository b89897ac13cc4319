#pragma once

#include "verbenawell/core/Context.h"
#include "verbenawell/core/Effect.h"
#include "verbenawell/core/Views.h"

namespace verbenawell {

struct WavesState;

/// Drives maintenance waves: reserve, drain, reboot, verify, return.
void
ReduceWaves(WavesState& aWaves,
            const Views& aViews,
            const Event& aEvent,
            const Context& aContext,
            Effects& aEffects);

} // namespace verbenawell
