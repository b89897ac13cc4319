#pragma once

#include "verbenawell/core/Ids.h"
#include "verbenawell/core/Time.h"
#include "verbenawell/jobs/core/Views.h"

#include <vector>

namespace verbenawell::jobs {

struct WaveProgress;

/// Returns the VMs of a wave that have to begin to drain now: as many as the
/// pace and the limit of the wave ask for, and first those that their pools
/// need least.
std::vector<VmId>
VmsToDrain(const WaveProgress& aWave, const Views& aViews, TimePoint aNow);

} // namespace verbenawell::jobs
