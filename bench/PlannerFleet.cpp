#include "PlannerFleet.h"

#include "verbenawell/fleet/ApplyRecord.h"

#include <string>
#include <utility>

namespace verbenawell::bench {

FleetShape
DalkomShape()
{
  return { 50, 4, 4, { 6, 7, 8, 7, 9 } };
}

FleetShape
HoangPhucShape()
{
  return { 50, 4, 4, { 8, 7, 7, 8, 8 } };
}

FleetShape
MakeFleetShape(int aVms, int aPools, int aZones)
{
  // The budgets add up to three quarters of the VMs.
  const int perPool = aVms * 3 / (4 * aPools);
  FleetShape shape{ aVms, aZones, 4, {} };
  shape.budgets_.assign(static_cast<std::size_t>(aPools),
                        static_cast<std::uint32_t>(perPool));
  return shape;
}

std::vector<VmFacts>
MakeVms(const FleetShape& aShape)
{
  std::vector<VmFacts> vms;
  for (int number = 0; number < aShape.vms_; ++number) {
    VmFacts facts;
    const int zone = number % aShape.zones_;
    const int rack = number / aShape.zones_ / aShape.vmsPerRack_;
    facts.vm_ = VmId{ "vm" + std::to_string(number) };
    facts.zone_ = ZoneId{ "z" + std::to_string(zone) };
    facts.rack_ =
      RackId{ "z" + std::to_string(zone) + "-k" + std::to_string(rack) };
    facts.size_ = { Cores{ 64 }, Megabytes{ 262'144 }, Accelerators{} };
    facts.slots_ = SlotCount{ 8 };
    facts.boots_ = BootCount{ 1 };
    vms.push_back(facts);
  }
  return vms;
}

PoolId
MakePoolId(std::size_t aNumber)
{
  return PoolId{ "p" + std::to_string(aNumber) };
}

std::vector<PoolDemand>
MakeDemands(const FleetShape& aShape)
{
  std::vector<PoolDemand> demands;
  for (std::size_t pool = 0; pool < aShape.budgets_.size(); ++pool) {
    demands.push_back(
      { MakePoolId(pool), VmCount{ aShape.budgets_[pool] }, Resources{} });
  }
  return demands;
}

SimulatedFleet::SimulatedFleet(const FleetShape& aShape)
{
  ApplyChange(DefinePool{ PoolId{ "spare" }, true });
  for (const VmFacts& vm : MakeVms(aShape)) {
    ApplyChange(VmSeen{ vm });
  }
  for (const PoolDemand& demand : MakeDemands(aShape)) {
    ApplyChange(DefinePool{ demand.pool_, false });
  }
  const Placement placement =
    PlaceAllPools(MakeVms(aShape), MakeDemands(aShape));
  for (const Assignment& assignment : placement.pools_) {
    ApplyChange(MoveVm{ assignment.vm_, assignment.pool_ });
  }
  for (const PoolDemand& demand : MakeDemands(aShape)) {
    ApplyChange(DefineService{
      ServiceId{ demand.pool_.Value() }, demand.pool_, demand.budget_ });
  }
}

bool
SimulatedFleet::ApplyChange(FleetChange aChange)
{
  FleetRecord record;
  const Offset offset = fleet_.appliedOffset_ + Offset{ 1 };
  record.id_ = RecordId{ std::to_string(offset.Value()) };
  record.change_ = std::move(aChange);
  const ApplyOutcome outcome = Apply(fleet_, offset, record);
  for (const Subject& subject : outcome.changed_) {
    index_.Update(fleet_, subject);
  }
  return outcome.refusal_.empty();
}

} // namespace verbenawell::bench
