#include "verbenawell/jobs/maintenance/WaveStatusWrites.h"

#include "verbenawell/core/Overloaded.h"
#include "verbenawell/jobs/maintenance/MaintenanceState.h"

#include <algorithm>

namespace verbenawell::jobs {

namespace {

WaveStatus
StatusOf(const WaveProgress& aWave)
{
  const bool isCompletedElsewhere =
    aWave.wave_.scope_ == WaveScope::All || aWave.hasEndedElsewhere_;
  return aWave.isCompleted_ && isCompletedElsewhere ? WaveStatus::Completed
                                                    : WaveStatus::Running;
}

} // namespace

bool
HasUnwrittenStatus(const WaveProgress& aWave)
{
  return aWave.wave_.scope_ != WaveScope::OtherShard &&
         aWave.writtenStatus_ != StatusOf(aWave);
}

// The store may execute a write without a response seconds later. Each write
// holds only if nothing was written since, so a late one, also that of an
// earlier owner, cannot replace a newer status.
void
WriteNextStatus(MaintenanceState& aState, Effects& aEffects)
{
  if (aState.isWritingStatus_) {
    return;
  }
  const auto next = std::ranges::find_if(aState.waves_, [](const auto& aWave) {
    return HasUnwrittenStatus(aWave.second);
  });
  if (next != aState.waves_.end()) {
    aState.isWritingStatus_ = true;
    aEffects.push_back(
      WriteWaveStatus{ next->first,
                       StatusOf(next->second) == WaveStatus::Completed,
                       aState.statusEnd_ });
  }
}

void
ApplyStatusResult(MaintenanceState& aState,
                  const WaveStatusWritten& aWritten,
                  Effects& aEffects)
{
  aState.isWritingStatus_ = false;
  const auto wave = aState.waves_.find(aWritten.wave_);
  if (wave == aState.waves_.end()) {
    return;
  }
  std::visit(Overloaded{ [&](const WaveStatusAppended& aAppended) {
                          aState.statusEnd_ =
                            Offset{ aAppended.offset_.Value() + 1 };
                          wave->second.writtenStatus_ =
                            aWritten.completed_ ? WaveStatus::Completed
                                                : WaveStatus::Running;
                          WriteNextStatus(aState, aEffects);
                        },
                         [&](const WaveStatusEndMismatch& aMismatch) {
                           aState.statusEnd_ = aMismatch.end_;
                           WriteNextStatus(aState, aEffects);
                         },
                         // The next list of VMs repeats it.
                         [](WaveStatusUnconfirmed) {} },
             aWritten.result_);
}

} // namespace verbenawell::jobs
