#pragma once

#include "verbenawell/core/Context.h"
#include "verbenawell/jobs/core/Effect.h"
#include "verbenawell/jobs/core/Views.h"

namespace verbenawell::jobs {

struct MaintenanceState;

/// Drains the VMs of maintenance waves and takes them down within the limits of
/// the waves.
void
ReduceMaintenance(MaintenanceState& aState,
                  const Views& aViews,
                  const Event& aEvent,
                  const Context& aContext,
                  Effects& aEffects);

} // namespace verbenawell::jobs
