#include "verbenawell/fleet/Fold.h"

#include "verbenawell/core/Overloaded.h"

#include <algorithm>
#include <optional>

namespace verbenawell {

namespace {

// Longer than any append stays unsettled at the log's full rate.
constexpr std::size_t kRecentIds = 8192;

// Failures of a pool within this time count as correlated.
constexpr std::chrono::minutes kFailureWindow{ 10 };
constexpr std::size_t kEndedWavesKept = 50;
constexpr std::ptrdiff_t kFailuresInRack = 2;
constexpr std::size_t kFailuresInWave = 3;

using Refusal = std::optional<std::string>;

std::string
DescribeVm(const VmId& aVm)
{
  return "VM \"" + aVm.Value() + "\"";
}

/// Applies one change; returns the reason where it is refused.
class Applier
{
public:
  Applier(FleetState& aFleet,
          const FleetRecord& aRecord,
          std::vector<Subject>& aChanged)
    : fleet_(aFleet)
    , at_(aRecord.at_)
    , changed_(aChanged)
  {
  }

  Refusal operator()(const DefinePool& aChange)
  {
    if (aChange.spare_ && HasOtherSparePool(aChange.pool_)) {
      return "another pool is the spare pool already";
    }
    fleet_.pools_[aChange.pool_].spare_ = aChange.spare_;
    changed_.emplace_back(aChange.pool_);
    return {};
  }

  Refusal operator()(const RemovePool& aChange)
  {
    const auto found = fleet_.pools_.find(aChange.pool_);
    if (found == fleet_.pools_.end()) {
      return "no pool \"" + aChange.pool_.Value() + "\"";
    }
    if (!found->second.vms_.empty() || !found->second.services_.empty()) {
      return "pool \"" + aChange.pool_.Value() + "\" still has VMs or services";
    }
    fleet_.pools_.erase(found);
    changed_.emplace_back(aChange.pool_);
    return {};
  }

  Refusal operator()(const DefineService& aChange)
  {
    const auto pool = fleet_.pools_.find(aChange.pool_);
    if (pool == fleet_.pools_.end()) {
      return "no pool \"" + aChange.pool_.Value() + "\"";
    }
    if (const auto old = fleet_.services_.find(aChange.service_);
        old != fleet_.services_.end()) {
      fleet_.pools_.at(old->second.pool_).services_.erase(aChange.service_);
      changed_.emplace_back(old->second.pool_);
    }
    fleet_.services_[aChange.service_] = { aChange.pool_, aChange.budget_ };
    pool->second.services_.insert(aChange.service_);
    changed_.emplace_back(aChange.service_);
    return {};
  }

  Refusal operator()(const RemoveService& aChange)
  {
    const auto found = fleet_.services_.find(aChange.service_);
    if (found == fleet_.services_.end()) {
      return "no service \"" + aChange.service_.Value() + "\"";
    }
    fleet_.pools_.at(found->second.pool_).services_.erase(aChange.service_);
    fleet_.services_.erase(found);
    changed_.emplace_back(aChange.service_);
    return {};
  }

  Refusal operator()(const SetQuota& aChange)
  {
    if (!fleet_.services_.contains(aChange.service_)) {
      return "no service \"" + aChange.service_.Value() + "\"";
    }
    fleet_.quotas_[{ aChange.team_, aChange.service_ }] = { aChange.weight_,
                                                            aChange.limit_ };
    changed_.emplace_back(aChange.team_);
    changed_.emplace_back(aChange.service_);
    return {};
  }

  Refusal operator()(const SetSetting& aChange)
  {
    fleet_.settings_[aChange.setting_] = aChange.value_;
    changed_.emplace_back(aChange.setting_);
    return {};
  }

  Refusal operator()(const VmSeen& aChange)
  {
    auto [entry, isNew] = fleet_.vms_.try_emplace(aChange.facts_.vm_);
    VmState& vm = entry->second;
    if (isNew) {
      const auto spare = FindSparePool(fleet_);
      if (spare.IsEmpty()) {
        fleet_.vms_.erase(entry);
        return "no spare pool to receive the VM";
      }
      vm.pool_ = spare;
      vm.maintainedAt_ = at_;
      fleet_.pools_.at(spare).vms_.insert(aChange.facts_.vm_);
      changed_.emplace_back(spare);
    }
    vm.facts_ = aChange.facts_;
    changed_.emplace_back(aChange.facts_.vm_);
    return {};
  }

  Refusal operator()(const VmDown& aChange)
  {
    return ChangeVm(aChange.vm_, [&](VmState& aVm) {
      aVm.down_ = true;
      NoteFailure(aVm);
    });
  }

  Refusal operator()(const VmUp& aChange)
  {
    return ChangeVm(aChange.vm_, [&](VmState& aVm) {
      aVm.down_ = false;
      aVm.facts_.boots_ = aChange.boots_;
    });
  }

  Refusal operator()(const VmGone& aChange)
  {
    const auto found = fleet_.vms_.find(aChange.vm_);
    if (found == fleet_.vms_.end()) {
      return "no " + DescribeVm(aChange.vm_);
    }
    fleet_.pools_.at(found->second.pool_).vms_.erase(aChange.vm_);
    changed_.emplace_back(found->second.pool_);
    changed_.emplace_back(aChange.vm_);
    if (const auto wave = fleet_.waves_.find(found->second.stop_);
        wave != fleet_.waves_.end()) {
      wave->second.stops_[aChange.vm_] = StopStatus::Failed;
      changed_.emplace_back(wave->first);
    }
    fleet_.vms_.erase(found);
    return {};
  }

  Refusal operator()(const MoveVm& aChange)
  {
    const auto found = fleet_.vms_.find(aChange.vm_);
    if (found == fleet_.vms_.end()) {
      return "no " + DescribeVm(aChange.vm_);
    }
    VmState& vm = found->second;
    const auto target = fleet_.pools_.find(aChange.to_);
    if (target == fleet_.pools_.end()) {
      return "no pool \"" + aChange.to_.Value() + "\"";
    }
    if (!vm.stop_.IsEmpty()) {
      return DescribeVm(aChange.vm_) + " has a planned stop";
    }
    if (IsServing(vm) && !fleet_.pools_.at(vm.pool_).services_.empty()) {
      return DescribeVm(aChange.vm_) + " still serves; start a move first";
    }
    vm.movingTo_ = PoolId{};
    changed_.emplace_back(vm.pool_);
    fleet_.pools_.at(vm.pool_).vms_.erase(aChange.vm_);
    target->second.vms_.insert(aChange.vm_);
    vm.pool_ = aChange.to_;
    changed_.emplace_back(aChange.to_);
    changed_.emplace_back(aChange.vm_);
    return {};
  }

  Refusal operator()(const StartMove& aChange)
  {
    const auto found = fleet_.vms_.find(aChange.vm_);
    if (found == fleet_.vms_.end()) {
      return "no " + DescribeVm(aChange.vm_);
    }
    const VmState& vm = found->second;
    if (!fleet_.pools_.contains(aChange.to_)) {
      return "no pool \"" + aChange.to_.Value() + "\"";
    }
    if (vm.pool_ == aChange.to_) {
      return DescribeVm(aChange.vm_) + " is in pool \"" + aChange.to_.Value() +
             "\" already";
    }
    if (!vm.stop_.IsEmpty()) {
      return DescribeVm(aChange.vm_) + " has a planned stop";
    }
    if (IsServing(vm) && !LeavesBudgets(vm.pool_)) {
      return "the move would break an availability budget of pool \"" +
             vm.pool_.Value() + "\"";
    }
    return ChangeVm(aChange.vm_,
                    [&](VmState& aVm) { aVm.movingTo_ = aChange.to_; });
  }

  Refusal operator()(const CancelMove& aChange)
  {
    return ChangeVm(aChange.vm_,
                    [](VmState& aVm) { aVm.movingTo_ = PoolId{}; });
  }

  Refusal operator()(const DrainVm& aChange)
  {
    const auto found = fleet_.vms_.find(aChange.vm_);
    if (found == fleet_.vms_.end()) {
      return "no " + DescribeVm(aChange.vm_);
    }
    if (IsServing(found->second) && !LeavesBudgets(found->second.pool_)) {
      return "the drain would break an availability budget of pool \"" +
             found->second.pool_.Value() + "\"";
    }
    return ChangeVm(aChange.vm_, [](VmState& aVm) { aVm.draining_ = true; });
  }

  Refusal operator()(const UndrainVm& aChange)
  {
    return ChangeVm(aChange.vm_, [](VmState& aVm) { aVm.draining_ = false; });
  }

  Refusal operator()(const StartWave& aChange)
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

  Refusal operator()(const ReserveStop& aChange)
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
    vm->second.stop_ = aChange.wave_;
    NoteStop(aChange.wave_, aChange.vm_);
    return {};
  }

  Refusal operator()(const FinishStop& aChange)
  {
    Refusal refusal = EndStop(aChange.wave_, aChange.vm_, StopStatus::Finished);
    if (!refusal) {
      VmState& vm = fleet_.vms_.at(aChange.vm_);
      vm.facts_.boots_ = aChange.boots_;
      vm.maintainedAt_ = at_;
    }
    return refusal;
  }

  Refusal operator()(const FailStop& aChange)
  {
    Refusal refusal = EndStop(aChange.wave_, aChange.vm_, StopStatus::Failed);
    if (!refusal) {
      NoteFailure(fleet_.vms_.at(aChange.vm_));
    }
    return refusal;
  }

  Refusal operator()(const PauseWave& aChange)
  {
    return ChangeWave(aChange.wave_, [&](WaveState& aWave) {
      aWave.paused_ = true;
      aWave.pauseReason_ = aChange.reason_;
    });
  }

  Refusal operator()(const ResumeWave& aChange)
  {
    return ChangeWave(aChange.wave_, [](WaveState& aWave) {
      aWave.paused_ = false;
      aWave.pauseReason_.clear();
      aWave.failures_.clear();
    });
  }

  Refusal operator()(const EndWave& aChange)
  {
    Refusal refusal = ChangeWave(aChange.wave_, [&](WaveState& aWave) {
      aWave.ended_ = true;
      aWave.endedAt_ = fleet_.through_;
    });
    ForgetOldWaves();
    return refusal;
  }

  Refusal operator()(const UnknownChange& aChange)
  {
    return "unknown kind of change \"" + aChange.kind_ + "\"";
  }

private:
  [[nodiscard]] bool HasOtherSparePool(const PoolId& aPool) const
  {
    const PoolId spare = FindSparePool(fleet_);
    return !spare.IsEmpty() && spare != aPool;
  }

  /// Tells whether the pool's services can do with one serving VM less.
  [[nodiscard]] bool LeavesBudgets(const PoolId& aPool) const
  {
    const PoolState& pool = fleet_.pools_.at(aPool);
    const VmCount serving = CountServing(fleet_, pool);
    for (const ServiceId& service : pool.services_) {
      if (serving <= fleet_.services_.at(service).budget_) {
        return false;
      }
    }
    return true;
  }

  template<typename Change>
  Refusal ChangeVm(const VmId& aVm, Change aChange)
  {
    const auto found = fleet_.vms_.find(aVm);
    if (found == fleet_.vms_.end()) {
      return "no " + DescribeVm(aVm);
    }
    aChange(found->second);
    changed_.emplace_back(aVm);
    return {};
  }

  template<typename Change>
  Refusal ChangeWave(const WaveId& aWave, Change aChange)
  {
    const auto found = fleet_.waves_.find(aWave);
    if (found == fleet_.waves_.end()) {
      return "no wave \"" + aWave.Value() + "\"";
    }
    aChange(found->second);
    changed_.emplace_back(aWave);
    return {};
  }

  Refusal EndStop(const WaveId& aWave, const VmId& aVm, StopStatus aStatus)
  {
    const auto vm = fleet_.vms_.find(aVm);
    if (vm == fleet_.vms_.end() || vm->second.stop_ != aWave) {
      return DescribeVm(aVm) + " has no planned stop of wave \"" +
             aWave.Value() + "\"";
    }
    vm->second.stop_ = WaveId{};
    vm->second.down_ = aStatus == StopStatus::Failed;
    fleet_.waves_.at(aWave).stops_[aVm] = aStatus;
    NoteStop(aWave, aVm);
    return {};
  }

  /// Counts a failure in the waves of the VM's pool, and pauses them where
  /// failures are correlated: a rack that loses a second VM, or a third VM.
  void NoteFailure(const VmState& aVm)
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
      const auto inRack = std::ranges::count(
        wave.failures_, aVm.facts_.rack_, &WaveFailure::rack_);
      if (inRack >= kFailuresInRack ||
          wave.failures_.size() >= kFailuresInWave) {
        wave.paused_ = true;
        wave.pauseReason_ =
          "correlated failures, the last in rack " + aVm.facts_.rack_.Value();
      }
      changed_.emplace_back(id);
    }
  }

  void ForgetOldWaves()
  {
    std::vector<std::pair<Offset, WaveId>> ended;
    for (const auto& [id, wave] : fleet_.waves_) {
      if (wave.ended_) {
        ended.emplace_back(wave.endedAt_, id);
      }
    }
    std::ranges::sort(ended);
    for (std::size_t at = 0; at + kEndedWavesKept < ended.size(); ++at) {
      fleet_.waves_.erase(ended[at].second);
      fleet_.provenance_.erase(ended[at].second);
    }
  }

  void NoteStop(const WaveId& aWave, const VmId& aVm)
  {
    changed_.emplace_back(aWave);
    changed_.emplace_back(aVm);
  }

  FleetState& fleet_;
  WallTime at_;
  std::vector<Subject>& changed_;
};

std::string
DescribeSubject(const Subject& aSubject)
{
  return std::visit([](const auto& aId) { return aId.Value(); }, aSubject);
}

Refusal
CheckPreconditions(const FleetState& aFleet, const FleetRecord& aRecord)
{
  for (const auto& [subject, version] : aRecord.preconditions_) {
    if (const Offset current = VersionOf(aFleet, subject); current != version) {
      return "\"" + DescribeSubject(subject) + "\" was changed at offset " +
             std::to_string(current.Value()) + ", expected offset " +
             std::to_string(version.Value());
    }
  }
  return {};
}

/// Returns false where the record has been seen before.
bool
RememberId(FleetState& aFleet, const RecordId& aId)
{
  if (!aFleet.recentIds_.insert(aId).second) {
    return false;
  }
  aFleet.recentOrder_.push_back(aId);
  if (aFleet.recentOrder_.size() > kRecentIds) {
    aFleet.recentIds_.erase(aFleet.recentOrder_.front());
    aFleet.recentOrder_.pop_front();
  }
  return true;
}

} // namespace

FoldOutcome
Apply(FleetState& aFleet, Offset aOffset, const FleetRecord& aRecord)
{
  FoldOutcome outcome;
  aFleet.through_ = aOffset;
  if (!RememberId(aFleet, aRecord.id_)) {
    outcome.refusal_ = "the record was applied before";
    return outcome;
  }
  if (Refusal refusal = CheckPreconditions(aFleet, aRecord)) {
    outcome.refusal_ = std::move(*refusal);
    return outcome;
  }
  Applier applier{ aFleet, aRecord, outcome.changed_ };
  if (Refusal refusal = std::visit(applier, aRecord.change_)) {
    outcome.refusal_ = std::move(*refusal);
    outcome.changed_.clear();
    return outcome;
  }
  for (const Subject& subject : outcome.changed_) {
    Provenance& provenance = aFleet.provenance_[subject];
    provenance = { aOffset, provenance.offset_, aRecord.author_, aRecord.at_ };
  }
  return outcome;
}

} // namespace verbenawell
