#pragma once

#include "verbenawell/core/Context.h"
#include "verbenawell/core/Effect.h"
#include "verbenawell/core/Views.h"

namespace verbenawell {

struct LogState;

/// Follows the streams of the platform's log and sees appends through.
void
ReduceLog(LogState& aLog,
          const Views& aViews,
          const Event& aEvent,
          const Context& aContext,
          Effects& aEffects);

} // namespace verbenawell
