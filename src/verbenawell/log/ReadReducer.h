#pragma once

#include "verbenawell/core/Context.h"
#include "verbenawell/core/Effect.h"
#include "verbenawell/core/Views.h"

namespace verbenawell {

struct LogState;

/// Reads the streams that modules have requested and raises each record once.
void
ReduceReads(LogState& aLog,
            const Views& aViews,
            const Event& aEvent,
            const Context& aContext,
            Effects& aEffects);

} // namespace verbenawell
