#pragma once

#include "verbenawell/core/Context.h"
#include "verbenawell/core/Effect.h"
#include "verbenawell/core/Views.h"

namespace verbenawell {

struct LogState;

/// Disseminates new records of the fleet stream between daemons by gossip.
void
ReduceDissemination(LogState& aLog,
                    const Views& aViews,
                    const Event& aEvent,
                    const Context& aContext,
                    Effects& aEffects);

} // namespace verbenawell
