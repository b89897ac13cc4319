#pragma once

#include "verbenawell/core/Context.h"
#include "verbenawell/jobs/core/Effect.h"
#include "verbenawell/jobs/core/Views.h"

namespace verbenawell::jobs {

struct ConfigurationState;

/// Reads the operators' records and keeps the configuration and the waves up to
/// date.
void
ReduceConfiguration(ConfigurationState& aState,
                    const Views& aViews,
                    const Event& aEvent,
                    const Context& aContext,
                    Effects& aEffects);

} // namespace verbenawell::jobs
