#pragma once

#include "verbenawell/core/Time.h"
#include "verbenawell/jobs/core/Effect.h"
#include "verbenawell/jobs/core/Views.h"
#include "verbenawell/jobs/maintenance/MaintenanceEvents.h"

namespace verbenawell::jobs {

/// Tells whether this daemon may send commands for VMs: its ownership was
/// renewed recently, and commands of the previous owner are long enough ago.
bool
MayCommandVms(const Views& aViews, TimePoint aNow);

/// Until when a command that is decided now may be sent: a successor sends none
/// before.
TimePoint
SendVmCommandsBefore(const Views& aViews);

/// Logs and counts a command that was not accepted.
void
ReportResult(const MaintenanceCommandCompleted& aCommand, Effects& aEffects);

void
ReportResult(const VmMoveCompleted& aCommand, Effects& aEffects);

} // namespace verbenawell::jobs
