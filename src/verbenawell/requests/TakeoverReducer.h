#pragma once

#include "verbenawell/core/Context.h"
#include "verbenawell/core/Effect.h"
#include "verbenawell/core/Views.h"

namespace verbenawell {

struct RequestsState;

/// Claims the queues of the pools that this daemon should own, gives up the
/// others, and forwards slot requests to the queues that it owns.
void
ReduceTakeover(RequestsState& aRequests,
               const Views& aViews,
               const Event& aEvent,
               const Context& aContext,
               Effects& aEffects);

} // namespace verbenawell
