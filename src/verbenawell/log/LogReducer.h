#pragma once

#include "verbenawell/core/Context.h"
#include "verbenawell/core/Effect.h"
#include "verbenawell/core/Views.h"

namespace verbenawell {

struct LogState;

/// Reads and appends to the streams of the platform's log service, maintains
/// snapshots and disseminates new records to peers.
void
ReduceLog(LogState& aLog,
          const Views& aViews,
          const Event& aEvent,
          const Context& aContext,
          Effects& aEffects);

} // namespace verbenawell
