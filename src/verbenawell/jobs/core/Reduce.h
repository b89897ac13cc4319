#pragma once

#include "verbenawell/core/Context.h"
#include "verbenawell/jobs/core/Effect.h"

namespace verbenawell::jobs {

struct State;

/// Applies one event to the state of a job manager and returns the effects to
/// execute, in order.
Effects
Reduce(State& aState, const Event& aEvent, const Context& aContext);

} // namespace verbenawell::jobs
