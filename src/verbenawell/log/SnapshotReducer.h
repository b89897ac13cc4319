#pragma once

#include "verbenawell/core/Context.h"
#include "verbenawell/core/Effect.h"
#include "verbenawell/core/Views.h"

namespace verbenawell {

struct LogState;

/// Loads and writes snapshots of the fleet stream's fold, and gives it to peers
/// that ask.
void
ReduceSnapshots(LogState& aLog,
                const Views& aViews,
                const Event& aEvent,
                const Context& aContext,
                Effects& aEffects);

} // namespace verbenawell
