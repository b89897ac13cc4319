#pragma once

#include "verbenawell/core/Ids.h"
#include "verbenawell/fleet/FleetRecord.h"
#include "verbenawell/operators/OperatorAnswer.h"

#include <vector>

namespace verbenawell {

struct FleetState;

struct MembershipState;
struct RequestsState;

/// One row a pool: services, budgets and serving VMs.
Table
ReportPools(const FleetState& aFleet);

/// One row a service: its budget, and whether its serving VMs hold it.
Table
ReportServices(const FleetState& aFleet,
               const MembershipState& aMembership,
               const RequestsState& aRequests);

/// One row a VM: pool, location and state; all pools where `aPool` is empty.
Table
ReportVms(const FleetState& aFleet, const PoolId& aPool);

/// One row a wave: progress and pauses.
Table
ReportWaves(const FleetState& aFleet);

/// One row a planned stop.
Table
ReportStops(const FleetState& aFleet, const WaveId& aWave);

Table
ReportQuotas(const FleetState& aFleet);

/// One row a setting: value in force, default, range and meaning.
Table
ReportSettings(const FleetState& aFleet);

/// What the loss of the worst zone asks of the spare pool.
Table
ReportSpares(const FleetState& aFleet);

/// One row a daemon: the offset of the configuration in force there.
Table
ReportStatus(const MembershipState& aMembership,
             const FleetState& aFleet,
             const DaemonId& aSelf);

/// Who put the subject in force, when and at which offset, what it replaced
/// and what it does now. Empty where nothing of that name is in force.
std::vector<Table>
ReportProvenance(const FleetState& aFleet, const Subject& aSubject);

} // namespace verbenawell
