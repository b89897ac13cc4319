#pragma once

#include "verbenawell/jobs/journal/JournalRecord.h"
#include "verbenawell/jobs/maintenance/WavePace.h"

namespace verbenawell::jobs {

struct VmProgress;
struct WaveProgress;

WaveSize
SizeOf(const WaveProgress& aWave);

/// Returns whether the maintenance of a VM has begun, with its drain, and has
/// not ended.
bool
IsInProgress(const VmProgress& aProgress);

/// The journal record of a wave's progress.
WaveStored
StoredWave(const WaveProgress& aWave);

} // namespace verbenawell::jobs
