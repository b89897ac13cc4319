#pragma once

#include "verbenawell/core/Ids.h"
#include "verbenawell/core/Units.h"
#include "verbenawell/fleet/FleetState.h"

#include <map>
#include <set>
#include <unordered_map>
#include <vector>

namespace verbenawell {

/// Number of serving VMs of one pool, in all and by availability zone.
struct PoolLoad
{
  /// Largest availability budget of the pool's services.
  VmCount budget_;
  VmCount serving_;
  std::map<ZoneId, VmCount> byZone_;
};

/// Data of the fleet that the planner needs. It is updated with each change, at
/// a cost that does not grow with the number of VMs.
class FleetIndex
{
public:
  void Rebuild(const FleetState& aFleet);
  void Update(const FleetState& aFleet, const Subject& aSubject);

  [[nodiscard]] const std::map<PoolId, PoolLoad>& Pools() const
  {
    return pools_;
  }

  /// Serving VMs of the spare pool, by availability zone.
  [[nodiscard]] const std::map<ZoneId, std::set<VmId>>& Spares() const
  {
    return spares_;
  }

  [[nodiscard]] VmCount SpareCount() const { return spareCount_; }

  /// VMs whose move to another pool has not finished.
  [[nodiscard]] const std::set<VmId>& Moving() const { return moving_; }

private:
  /// Pool and zone in which a serving VM is counted.
  struct Location
  {
    PoolId pool_;
    ZoneId zone_;
    bool spare_ = false;
  };

  void UpdateVm(const FleetState& aFleet, const VmId& aVm);
  void UpdatePool(const FleetState& aFleet, const PoolId& aPool);
  void Remove(const VmId& aVm, const Location& aLocation);

  std::map<PoolId, PoolLoad> pools_;
  std::map<ZoneId, std::set<VmId>> spares_;
  VmCount spareCount_;
  std::set<VmId> moving_;
  std::unordered_map<VmId, Location> locations_;
};

} // namespace verbenawell
