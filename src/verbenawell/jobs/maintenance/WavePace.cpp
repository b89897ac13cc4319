#include "verbenawell/jobs/maintenance/WavePace.h"

#include <algorithm>
#include <cstdint>

namespace verbenawell::jobs {

namespace {

using namespace std::chrono_literals;

// Part of a wave's time over which its VMs begin. The rest is left for VMs that
// wait for the limit of the wave, for repeated commands and for changes of the
// owner.
constexpr double kBeginShare = 0.7;
// Longest drain of a VM and its maintenance after it. The last VM of a wave has
// to begin this long before the end.
constexpr Duration kMaxTimePerVm = 11s;
// Longest time that a wave stands while the ownership changes: the time to live
// of the lost owner, and the wait of the next one before its first command.
constexpr Duration kMaxTimeWithoutOwner = 10s;

/// Time within which all VMs of a wave have to begin.
std::chrono::duration<double>
BeginTime(Duration aDuration)
{
  const std::chrono::duration<double> duration = aDuration;
  return std::max<std::chrono::duration<double>>(
    0s,
    std::min<std::chrono::duration<double>>(duration - kMaxTimePerVm,
                                            duration * kBeginShare));
}

} // namespace

VmCount
VmsDue(const WaveSize& aWave, Duration aElapsed)
{
  const std::chrono::duration<double> beginTime = BeginTime(aWave.duration_);
  if (aElapsed >= beginTime) {
    return aWave.vms_;
  }
  const double share = std::max(0.0, aElapsed / beginTime);
  const auto vms = static_cast<std::uint32_t>(share * aWave.vms_.Value());
  return VmCount{ std::min(vms + 1, aWave.vms_.Value()) };
}

Duration
EstimatedElapsed(const WaveSize& aWave, VmCount aBegun)
{
  const double share =
    static_cast<double>(aBegun.Value()) / std::max(1U, aWave.vms_.Value());
  return std::chrono::duration_cast<Duration>(BeginTime(aWave.duration_) *
                                              std::min(1.0, share)) +
         kMaxTimeWithoutOwner;
}

} // namespace verbenawell::jobs
