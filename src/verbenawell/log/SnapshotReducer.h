#pragma once

#include "verbenawell/core/Context.h"
#include "verbenawell/core/Effect.h"
#include "verbenawell/core/Views.h"

namespace verbenawell {

struct LogState;

/// Loads snapshots of the fleet state, writes them to the log and sends the
/// fleet state to peers that request it.
void
ReduceSnapshots(LogState& aLog,
                const Views& aViews,
                const Event& aEvent,
                const Context& aContext,
                Effects& aEffects);

} // namespace verbenawell
