#pragma once

#include "verbenawell/core/Context.h"
#include "verbenawell/core/Effect.h"

namespace verbenawell {

struct State;

/// Applies one event to the daemon's state and returns what is to be done.
/// Messages to the daemon itself and raised events are applied within the
/// call; the result holds neither.
Effects
Reduce(State& aState, const Event& aEvent, const Context& aContext);

} // namespace verbenawell
