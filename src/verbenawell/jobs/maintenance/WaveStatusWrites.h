#pragma once

#include "verbenawell/jobs/core/Effect.h"

namespace verbenawell::jobs {

struct MaintenanceState;
struct WaveProgress;

/// Returns whether the status of a wave has to be written.
bool
HasUnwrittenStatus(const WaveProgress& aWave);

/// Writes the next status that has to be written, unless a write is in flight.
void
WriteNextStatus(MaintenanceState& aState, Effects& aEffects);

void
ApplyStatusResult(MaintenanceState& aState,
                  const WaveStatusWritten& aWritten,
                  Effects& aEffects);

} // namespace verbenawell::jobs
