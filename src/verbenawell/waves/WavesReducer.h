#pragma once

#include "verbenawell/core/Context.h"
#include "verbenawell/core/Effect.h"
#include "verbenawell/core/Views.h"

namespace verbenawell {

struct WavesState;

/// Runs maintenance waves. Each planned stop is reserved, then the VM is
/// drained, rebooted, checked and returned to service.
void
ReduceWaves(WavesState& aWaves,
            const Views& aViews,
            const Event& aEvent,
            const Context& aContext,
            Effects& aEffects);

} // namespace verbenawell
