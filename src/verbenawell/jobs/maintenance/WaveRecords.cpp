#include "verbenawell/jobs/maintenance/WaveRecords.h"

#include "verbenawell/jobs/maintenance/MaintenanceState.h"

#include <algorithm>
#include <cstdint>

namespace verbenawell::jobs {

WaveSize
SizeOf(const WaveProgress& aWave)
{
  return { VmCount{ static_cast<std::uint32_t>(aWave.vms_.size()) },
           aWave.wave_.duration_ };
}

bool
IsInProgress(const VmProgress& aProgress)
{
  return aProgress.phase_ != VmPhase::Pending &&
         aProgress.phase_ != VmPhase::Done;
}

WaveStored
StoredWave(const WaveProgress& aWave)
{
  WaveStored stored{ aWave.wave_.number_, {} };
  for (const auto& [id, progress] : aWave.vms_) {
    if (progress.phase_ == VmPhase::Down || progress.phase_ == VmPhase::Done) {
      stored.begun_.push_back(id);
    }
  }
  return stored;
}

bool
MaintenanceState::HasEnded(WaveNumber aWave) const
{
  const auto found = waves_.find(aWave);
  return found != waves_.end() &&
         std::ranges::all_of(found->second.vms_, [](const auto& aVm) {
           return aVm.second.phase_ == VmPhase::Done;
         });
}

} // namespace verbenawell::jobs
