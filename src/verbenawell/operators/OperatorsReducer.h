#pragma once

#include "verbenawell/core/Context.h"
#include "verbenawell/core/Effect.h"
#include "verbenawell/core/Views.h"

namespace verbenawell {

struct OperatorsState;

/// Responds to operators' queries. Appends their changes to the log and
/// responds once the outcome of a change is known or its time-out has passed.
void
ReduceOperators(OperatorsState& aOperators,
                const Views& aViews,
                const Event& aEvent,
                const Context& aContext,
                Effects& aEffects);

} // namespace verbenawell
