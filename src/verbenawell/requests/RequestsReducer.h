#pragma once

#include "verbenawell/core/Context.h"
#include "verbenawell/core/Effect.h"
#include "verbenawell/core/Views.h"

namespace verbenawell {

struct RequestsState;

/// Serves callers' requests: the entry part and the owner part.
void
ReduceRequests(RequestsState& aRequests,
               const Views& aViews,
               const Event& aEvent,
               const Context& aContext,
               Effects& aEffects);

} // namespace verbenawell
