#pragma once

#include "verbenawell/core/Context.h"
#include "verbenawell/core/Effect.h"

namespace verbenawell {

struct State;

/// Applies one event to the daemon's state and returns the effects to execute.
/// Messages to the daemon itself and raised events are applied within the call
/// and are not part of the result.
Effects
Reduce(State& aState, const Event& aEvent, const Context& aContext);

} // namespace verbenawell
