#pragma once

#include "verbenawell/core/Context.h"
#include "verbenawell/core/Effect.h"
#include "verbenawell/core/Views.h"

namespace verbenawell {

struct RequestsState;

/// Claims the queues of pools that this daemon is to own, gives up the others,
/// and lets slot requests pass to the queues that it owns.
void
ReduceTakeover(RequestsState& aRequests,
               const Views& aViews,
               const Event& aEvent,
               const Context& aContext,
               Effects& aEffects);

} // namespace verbenawell
