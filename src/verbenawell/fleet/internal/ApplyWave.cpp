#include "verbenawell/fleet/internal/Applier.h"

namespace verbenawell::fold {

Refusal
Applier::operator()(const StartWave& aChange)
{
  const auto pool = fleet_.pools_.find(aChange.pool_);
  if (pool == fleet_.pools_.end()) {
    return "no pool \"" + aChange.pool_.Value() + "\"";
  }
  if (fleet_.waves_.contains(aChange.wave_)) {
    return "wave \"" + aChange.wave_.Value() + "\" exists already";
  }
  WaveState wave;
  wave.pool_ = aChange.pool_;
  for (const VmId& vm : aChange.vms_) {
    if (!pool->second.vms_.contains(vm)) {
      return DescribeVm(vm) + " is not in pool \"" + aChange.pool_.Value() +
             "\"";
    }
    wave.stops_[vm] = StopStatus::Waiting;
  }
  if (aChange.vms_.empty()) {
    for (const VmId& vm : pool->second.vms_) {
      wave.stops_[vm] = StopStatus::Waiting;
    }
  }
  fleet_.waves_[aChange.wave_] = std::move(wave);
  changed_.emplace_back(aChange.wave_);
  return {};
}

Refusal
Applier::operator()(const ReserveStop& aChange)
{
  const auto wave = fleet_.waves_.find(aChange.wave_);
  const auto vm = fleet_.vms_.find(aChange.vm_);
  if (wave == fleet_.waves_.end() || vm == fleet_.vms_.end()) {
    return "no such wave or VM";
  }
  if (wave->second.paused_ || wave->second.ended_) {
    return "wave \"" + aChange.wave_.Value() + "\" is paused or ended";
  }
  const auto stop = wave->second.stops_.find(aChange.vm_);
  if (stop == wave->second.stops_.end() ||
      stop->second != StopStatus::Waiting) {
    return DescribeVm(aChange.vm_) + " is not waiting in the wave";
  }
  if (!vm->second.stop_.IsEmpty()) {
    return DescribeVm(aChange.vm_) + " has a planned stop already";
  }
  if (IsServing(vm->second) && !LeavesBudgets(vm->second.pool_)) {
    return "the stop would break an availability budget of pool \"" +
           vm->second.pool_.Value() + "\"";
  }
  stop->second = StopStatus::Reserved;
  Edit(vm->second, [&](VmState& aVm) { aVm.stop_ = aChange.wave_; });
  NoteStop(aChange.wave_, aChange.vm_);
  return {};
}

Refusal
Applier::operator()(const FinishStop& aChange)
{
  return EndStop(aChange.wave_, aChange.vm_, StopStatus::Finished);
}

Refusal
Applier::operator()(const FailStop& aChange)
{
  return EndStop(aChange.wave_, aChange.vm_, StopStatus::Failed);
}

Refusal
Applier::operator()(const PauseWave& aChange)
{
  return ChangeWave(aChange.wave_, [&](WaveState& aWave) {
    aWave.paused_ = true;
    aWave.pauseReason_ = aChange.reason_;
  });
}

Refusal
Applier::operator()(const ResumeWave& aChange)
{
  return ChangeWave(aChange.wave_, [](WaveState& aWave) {
    aWave.paused_ = false;
    aWave.pauseReason_.clear();
  });
}

Refusal
Applier::operator()(const EndWave& aChange)
{
  Refusal refusal =
    ChangeWave(aChange.wave_, [](WaveState& aWave) { aWave.ended_ = true; });
  if (!refusal) {
    fleet_.endedWaves_.push_back(aChange.wave_);
  }
  return refusal;
}

// A VM that was recorded as down stays so until a record says that it is up:
// the platform's list decides, not the wave.
Refusal
Applier::EndStop(const WaveId& aWave, const VmId& aVm, StopStatus aStatus)
{
  const auto vm = fleet_.vms_.find(aVm);
  if (vm == fleet_.vms_.end() || vm->second.stop_ != aWave) {
    return DescribeVm(aVm) + " has no planned stop of wave \"" + aWave.Value() +
           "\"";
  }
  Edit(vm->second, [&](VmState& aState) {
    aState.stop_ = WaveId{};
    aState.down_ = aState.down_ || aStatus == StopStatus::Failed;
  });
  if (const auto wave = fleet_.waves_.find(aWave);
      wave != fleet_.waves_.end()) {
    wave->second.stops_[aVm] = aStatus;
  }
  NoteStop(aWave, aVm);
  return {};
}

void
Applier::NoteStop(const WaveId& aWave, const VmId& aVm)
{
  changed_.emplace_back(aWave);
  changed_.emplace_back(aVm);
}

} // namespace verbenawell::fold
