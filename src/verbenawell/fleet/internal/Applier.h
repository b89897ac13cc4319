#pragma once

#include "verbenawell/fleet/FleetState.h"

#include <optional>
#include <string>
#include <vector>

namespace verbenawell::fleet_records {

using Refusal = std::optional<std::string>;

std::string
DescribeVm(const VmId& aVm);

/// Applies one change to the fleet state, or returns the reason for a refusal
/// and changes nothing. Depends only on the state and the record, so that every
/// daemon reaches the same result.
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

  Refusal operator()(const DefinePool& aChange);
  Refusal operator()(const RemovePool& aChange);
  Refusal operator()(const DefineService& aChange);
  Refusal operator()(const RemoveService& aChange);
  Refusal operator()(const SetQuota& aChange);
  Refusal operator()(const SetSetting& aChange);
  Refusal operator()(const UnknownChange& aChange);
  Refusal operator()(const VmSeen& aChange);
  Refusal operator()(const VmDown& aChange);
  Refusal operator()(const VmUp& aChange);
  Refusal operator()(const VmGone& aChange);
  Refusal operator()(const MoveVm& aChange);
  Refusal operator()(const StartMove& aChange);
  Refusal operator()(const CancelMove& aChange);
  Refusal operator()(const DrainVm& aChange);
  Refusal operator()(const UndrainVm& aChange);
  Refusal operator()(const StartWave& aChange);
  Refusal operator()(const ReserveStop& aChange);
  Refusal operator()(const FinishStop& aChange);
  Refusal operator()(const FailStop& aChange);
  Refusal operator()(const PauseWave& aChange);
  Refusal operator()(const ResumeWave& aChange);
  Refusal operator()(const EndWave& aChange);

private:
  [[nodiscard]] bool HasOtherSparePool(const PoolId& aPool) const;

  /// Tells whether the availability budgets of the pool's services hold with
  /// one serving VM fewer.
  [[nodiscard]] bool CanLoseServingVm(const PoolId& aPool) const;

  /// Changes a VM and updates the serving counts of its old and new pool.
  template<typename Change>
  void EditVm(VmState& aVm, Change aChange)
  {
    if (IsServing(aVm)) {
      --fleet_.pools_.at(aVm.pool_).serving_;
    }
    aChange(aVm);
    if (IsServing(aVm)) {
      ++fleet_.pools_.at(aVm.pool_).serving_;
    }
  }

  template<typename Change>
  Refusal ChangeVm(const VmId& aVm, Change aChange)
  {
    const auto found = fleet_.vms_.find(aVm);
    if (found == fleet_.vms_.end()) {
      return "no " + DescribeVm(aVm);
    }
    EditVm(found->second, aChange);
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
    if (found->second.ended_) {
      return "wave \"" + aWave.Value() + "\" has ended";
    }
    aChange(found->second);
    changed_.emplace_back(aWave);
    return {};
  }

  Refusal EndStop(const WaveId& aWave, const VmId& aVm, StopStatus aStatus);
  /// Counts a failure in the running waves of the VM's pool. Pauses a wave
  /// whose recent failures are correlated: two in one rack, or three in all.
  void CountFailure(const VmState& aVm);

  /// Removes all but a bounded number of ended waves, so that the state does
  /// not grow with its age.
  void RemoveOldWaves();

  void MarkStopChanged(const WaveId& aWave, const VmId& aVm);
  void AddRemovedSubject(const Subject& aSubject);

  FleetState& fleet_;
  WallTime at_;
  std::vector<Subject>& changed_;
};

} // namespace verbenawell::fleet_records
