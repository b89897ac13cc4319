#pragma once

#include "verbenawell/core/Context.h"
#include "verbenawell/jobs/core/Effect.h"
#include "verbenawell/jobs/core/Views.h"

namespace verbenawell::jobs {

/// Logs the workspaces with the most work for their weight, at most three for
/// each service on which jobs wait, and only every few seconds. `aReportedAt`
/// is the time of the last report.
void
ReportShares(TimePoint& aReportedAt,
             const Views& aViews,
             const Context& aContext,
             Effects& aEffects);

} // namespace verbenawell::jobs
