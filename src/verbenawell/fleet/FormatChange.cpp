#include "verbenawell/fleet/FormatChange.h"

#include "verbenawell/core/Overloaded.h"

namespace verbenawell {

namespace {

template<typename Number>
std::string
Text(Number aNumber)
{
  return std::to_string(aNumber.Value());
}

std::string
DescribePool(const DefinePool& aChange)
{
  return "create pool " + aChange.pool_.Value() +
         (aChange.spare_ ? " spare" : "");
}

std::string
DescribeService(const DefineService& aChange)
{
  return "create service " + aChange.service_.Value() + " in " +
         aChange.pool_.Value() + " budget " + Text(aChange.budget_);
}

std::string
DescribeQuota(const SetQuota& aChange)
{
  return "set quota of team " + aChange.team_.Value() + " on service " +
         aChange.service_.Value() + " to weight " + Text(aChange.weight_) +
         " and limit " + Text(aChange.limit_);
}

std::string
DescribeStop(const char* aAction, const WaveId& aWave, const VmId& aVm)
{
  return std::string(aAction) + " stop of VM " + aVm.Value() + " in wave " +
         aWave.Value();
}

} // namespace

std::string
FormatChange(const FleetChange& aChange)
{
  return std::visit(
    Overloaded{
      [](const DefinePool& aPool) { return DescribePool(aPool); },
      [](const RemovePool& aPool) {
        return "remove pool " + aPool.pool_.Value();
      },
      [](const DefineService& aService) { return DescribeService(aService); },
      [](const RemoveService& aService) {
        return "remove service " + aService.service_.Value();
      },
      [](const SetQuota& aQuota) { return DescribeQuota(aQuota); },
      [](const SetSetting& aSetting) {
        return "set " + aSetting.setting_.Value() + " to " + aSetting.value_;
      },
      [](const VmSeen& aVm) {
        return "VM " + aVm.facts_.vm_.Value() + " listed";
      },
      [](const VmDown& aVm) { return "VM " + aVm.vm_.Value() + " down"; },
      [](const VmUp& aVm) {
        return "VM " + aVm.vm_.Value() + " up, boot " + Text(aVm.boots_);
      },
      [](const VmGone& aVm) {
        return "VM " + aVm.vm_.Value() + " no longer listed";
      },
      [](const MoveVm& aMove) {
        return "move VM " + aMove.vm_.Value() + " to pool " + aMove.to_.Value();
      },
      [](const StartMove& aMove) {
        return "start move of VM " + aMove.vm_.Value() + " to pool " +
               aMove.to_.Value();
      },
      [](const CancelMove& aMove) {
        return "cancel move of VM " + aMove.vm_.Value();
      },
      [](const DrainVm& aVm) { return "drain VM " + aVm.vm_.Value(); },
      [](const UndrainVm& aVm) { return "undrain VM " + aVm.vm_.Value(); },
      [](const StartWave& aWave) {
        return "create wave " + aWave.wave_.Value() + " over " +
               aWave.pool_.Value();
      },
      [](const ReserveStop& aStop) {
        return DescribeStop("reserve", aStop.wave_, aStop.vm_);
      },
      [](const FinishStop& aStop) {
        return DescribeStop("finish", aStop.wave_, aStop.vm_);
      },
      [](const FailStop& aStop) {
        return DescribeStop("fail", aStop.wave_, aStop.vm_);
      },
      [](const PauseWave& aWave) {
        return "pause wave " + aWave.wave_.Value() + ": " + aWave.reason_;
      },
      [](const ResumeWave& aWave) {
        return "resume wave " + aWave.wave_.Value();
      },
      [](const EndWave& aWave) { return "end wave " + aWave.wave_.Value(); },
      [](const UnknownChange& aUnknown) {
        return "unknown change " + aUnknown.kind_;
      },
    },
    aChange);
}

} // namespace verbenawell
