#pragma once

#include "verbenawell/core/Ids.h"
#include "verbenawell/fleet/FleetRecord.h"
#include "verbenawell/operators/OperatorResponse.h"

#include <vector>

namespace verbenawell {

struct FleetState;

struct MembershipState;
struct RequestsState;

/// One row per pool: services, budgets and serving VMs.
Table
ReportPools(const FleetState& aFleet);

/// One row per service: its availability budget, and whether the pool has
/// enough serving VMs for it.
Table
ReportServices(const FleetState& aFleet,
               const MembershipState& aMembership,
               const RequestsState& aRequests);

/// One row per VM: pool, location and state. Covers all pools if `aPool` is
/// empty.
Table
ReportVms(const FleetState& aFleet, const PoolId& aPool);

/// One row per wave: progress and pauses.
Table
ReportWaves(const FleetState& aFleet);

/// One row per planned VM stop of the wave.
Table
ReportStops(const FleetState& aFleet, const WaveId& aWave);

Table
ReportQuotas(const FleetState& aFleet);

/// One row per setting: value in force, default, range and meaning.
Table
ReportSettings(const FleetState& aFleet);

/// For the worst loss of an availability zone: the missing VMs, the spares
/// left, and whether the spares cover the loss.
Table
ReportSpares(const FleetState& aFleet);

/// One row per daemon: the offset of the configuration in force there.
Table
ReportStatus(const MembershipState& aMembership,
             const FleetState& aFleet,
             const DaemonId& aSelf);

/// Who last changed the subject, when and at which log offset, which version it
/// replaced, and its current effect. Empty if no subject of that name is in
/// force.
std::vector<Table>
ReportProvenance(const FleetState& aFleet, const Subject& aSubject);

} // namespace verbenawell
