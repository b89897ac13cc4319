#pragma once

#include "verbenawell/core/Time.h"
#include "verbenawell/jobs/core/Views.h"

namespace verbenawell::jobs {

/// Tells whether this daemon may send commands for VMs: its ownership was
/// renewed recently, and commands of the previous owner are long enough ago.
bool
MayCommandVms(const Views& aViews, TimePoint aNow);

} // namespace verbenawell::jobs
