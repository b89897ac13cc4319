#pragma once

#include "verbenawell/jobs/journal/JournalRecord.h"

namespace verbenawell::jobs {

struct WaveProgress;

/// The journal record of a wave's progress.
WaveStored
StoredWave(const WaveProgress& aWave);

} // namespace verbenawell::jobs
