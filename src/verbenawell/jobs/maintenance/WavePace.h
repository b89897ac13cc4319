#pragma once

#include "verbenawell/core/Time.h"
#include "verbenawell/jobs/model/Ids.h"

namespace verbenawell::jobs {

/// Size and time limit of a wave.
struct WaveSize
{
  VmCount vms_;
  Duration duration_{};
};

/// Returns how many VMs of a wave should have begun to drain after this time. A
/// wave begins its VMs evenly, and early enough to end in time.
VmCount
VmsDue(const WaveSize& aWave, Duration aElapsed);

/// Returns how long a wave has run for all that a new owner knows: the number
/// of VMs whose maintenance has begun. It allows for the time without an owner.
Duration
EstimatedElapsed(const WaveSize& aWave, VmCount aBegun);

} // namespace verbenawell::jobs
