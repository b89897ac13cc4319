#pragma once

#include "verbenawell/core/Context.h"
#include "verbenawell/core/Effect.h"
#include "verbenawell/core/Views.h"

namespace verbenawell {

struct LogState;

/// Sends appends, and resends failed ones, until their records are read back or
/// they are abandoned.
void
ReduceAppends(LogState& aLog,
              const Views& aViews,
              const Event& aEvent,
              const Context& aContext,
              Effects& aEffects);

} // namespace verbenawell
