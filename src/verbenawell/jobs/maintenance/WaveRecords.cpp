#include "verbenawell/jobs/maintenance/WaveRecords.h"

#include "verbenawell/jobs/maintenance/MaintenanceState.h"

namespace verbenawell::jobs {

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

} // namespace verbenawell::jobs
