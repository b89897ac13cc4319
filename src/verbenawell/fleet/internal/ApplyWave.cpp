#include "verbenawell/fleet/internal/Applier.h"

#include <algorithm>
#include <utility>

namespace verbenawell::fleet_records {

namespace {

// Failures in a pool count together within this time: they may be correlated.
constexpr std::chrono::minutes kFailureWindow{ 10 };
constexpr std::size_t kMaxEndedWaves = 50;
constexpr std::ptrdiff_t kRackFailuresToPause = 2;
constexpr std::size_t kWaveFailuresToPause = 3;

bool
HasReservedStops(const WaveState& aWave)
{
  return std::ranges::any_of(aWave.stops_, [](const auto& aStop) {
    return aStop.second == StopStatus::Reserved;
  });
}

} // namespace

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
  wave.startedAt_ = at_;
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
  if (!vm->second.stopWave_.IsEmpty()) {
    return DescribeVm(aChange.vm_) + " has a planned stop already";
  }
  if (IsServing(vm->second) && !CanLoseServingVm(vm->second.pool_)) {
    return "the stop would break an availability budget of pool \"" +
           vm->second.pool_.Value() + "\"";
  }
  stop->second = StopStatus::Reserved;
  EditVm(vm->second, [&](VmState& aVm) { aVm.stopWave_ = aChange.wave_; });
  MarkStopChanged(aChange.wave_, aChange.vm_);
  return {};
}

Refusal
Applier::operator()(const FinishStop& aChange)
{
  Refusal refusal = EndStop(aChange.wave_, aChange.vm_, StopStatus::Finished);
  if (!refusal) {
    VmState& vm = fleet_.vms_.at(aChange.vm_);
    vm.facts_.boots_ = aChange.boots_;
    vm.maintainedAt_ = at_;
  }
  return refusal;
}

Refusal
Applier::operator()(const FailStop& aChange)
{
  Refusal refusal = EndStop(aChange.wave_, aChange.vm_, StopStatus::Failed);
  if (!refusal) {
    CountFailure(fleet_.vms_.at(aChange.vm_));
  }
  return refusal;
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
    aWave.failures_.clear();
  });
}

Refusal
Applier::operator()(const EndWave& aChange)
{
  Refusal refusal = ChangeWave(aChange.wave_, [&](WaveState& aWave) {
    aWave.ended_ = true;
    aWave.endedAt_ = fleet_.appliedOffset_;
  });
  RemoveOldWaves();
  return refusal;
}

// A VM that was recorded as down stays down until a record says that it is up:
// the platform's VM list decides that, not the wave.
Refusal
Applier::EndStop(const WaveId& aWave, const VmId& aVm, StopStatus aStatus)
{
  const auto vm = fleet_.vms_.find(aVm);
  if (vm == fleet_.vms_.end() || vm->second.stopWave_ != aWave) {
    return DescribeVm(aVm) + " has no planned stop of wave \"" + aWave.Value() +
           "\"";
  }
  EditVm(vm->second, [&](VmState& aState) {
    aState.stopWave_ = WaveId{};
    aState.down_ = aState.down_ || aStatus == StopStatus::Failed;
  });
  if (const auto wave = fleet_.waves_.find(aWave);
      wave != fleet_.waves_.end()) {
    wave->second.stops_[aVm] = aStatus;
  }
  MarkStopChanged(aWave, aVm);
  return {};
}

void
Applier::CountFailure(const VmState& aVm)
{
  for (auto& [id, wave] : fleet_.waves_) {
    if (wave.ended_ || wave.pool_ != aVm.pool_) {
      continue;
    }
    while (!wave.failures_.empty() &&
           wave.failures_.front().at_ + kFailureWindow < at_) {
      wave.failures_.pop_front();
    }
    wave.failures_.push_back({ at_, aVm.facts_.rack_ });
    const auto inRack =
      std::ranges::count(wave.failures_, aVm.facts_.rack_, &WaveFailure::rack_);
    if (inRack >= kRackFailuresToPause ||
        wave.failures_.size() >= kWaveFailuresToPause) {
      wave.paused_ = true;
      wave.pauseReason_ =
        "correlated failures, the last in rack " + aVm.facts_.rack_.Value();
    }
    changed_.emplace_back(id);
  }
}

void
Applier::RemoveOldWaves()
{
  std::vector<std::pair<Offset, WaveId>> ended;
  for (const auto& [id, wave] : fleet_.waves_) {
    if (wave.ended_ && !HasReservedStops(wave)) {
      ended.emplace_back(wave.endedAt_, id);
    }
  }
  std::ranges::sort(ended);
  for (std::size_t at = 0; at + kMaxEndedWaves < ended.size(); ++at) {
    fleet_.waves_.erase(ended[at].second);
    fleet_.provenance_.erase(ended[at].second);
  }
}

void
Applier::MarkStopChanged(const WaveId& aWave, const VmId& aVm)
{
  changed_.emplace_back(aWave);
  changed_.emplace_back(aVm);
}

} // namespace verbenawell::fleet_records
