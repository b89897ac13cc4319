#pragma once

#include "verbenawell/core/Context.h"
#include "verbenawell/core/Effect.h"
#include "verbenawell/core/Views.h"

namespace verbenawell {

struct RequestsState;

/// Serves callers' requests: receives them as the entry daemon of their
/// callers, and grants slots as the owner of pools.
void
ReduceRequests(RequestsState& aRequests,
               const Views& aViews,
               const Event& aEvent,
               const Context& aContext,
               Effects& aEffects);

} // namespace verbenawell
