#pragma once

#include "verbenawell/core/Ids.h"
#include "verbenawell/core/Time.h"
#include "verbenawell/fleet/VmFacts.h"

#include <string>
#include <variant>
#include <vector>

namespace verbenawell {

struct DefinePool
{
  PoolId pool_;
  bool spare_ = false;
};

struct RemovePool
{
  PoolId pool_;
};

struct DefineService
{
  ServiceId service_;
  PoolId pool_;
  /// Minimum number of serving VMs: the service's availability budget.
  VmCount budget_;
};

struct RemoveService
{
  ServiceId service_;
};

struct SetQuota
{
  TeamId team_;
  ServiceId service_;
  ShareWeight weight_;
  /// Maximum number of slots the team may use at once; zero means no limit.
  SlotCount limit_;
};

struct SetSetting
{
  SettingId setting_;
  std::string value_;
};

/// The platform lists a VM for the first time or with changed properties.
struct VmSeen
{
  VmFacts facts_;
};

struct VmDown
{
  VmId vm_;
};

struct VmUp
{
  VmId vm_;
  BootCount boots_;
};

/// The platform no longer lists the VM.
struct VmGone
{
  VmId vm_;
};

/// Assigns a VM that takes no requests to another pool.
struct MoveVm
{
  VmId vm_;
  PoolId to_;
};

/// Drains a VM for a move to another pool; `MoveVm` follows once it is idle.
struct StartMove
{
  VmId vm_;
  PoolId to_;
};

/// Cancels an unfinished move; the VM serves in its current pool again.
struct CancelMove
{
  VmId vm_;
};

struct DrainVm
{
  VmId vm_;
};

struct UndrainVm
{
  VmId vm_;
};

/// Starts a wave over the named VMs of a pool, or over all of them if none is
/// named.
struct StartWave
{
  WaveId wave_;
  PoolId pool_;
  std::vector<VmId> vms_;
};

/// Reserves the planned stop of a VM. From then on the VM does not count as
/// serving towards the availability budgets of its pool.
struct ReserveStop
{
  WaveId wave_;
  VmId vm_;
};

/// A VM serves again after its planned stop.
struct FinishStop
{
  WaveId wave_;
  VmId vm_;
  BootCount boots_;
};

/// A VM did not come back from its planned stop.
struct FailStop
{
  WaveId wave_;
  VmId vm_;
};

struct PauseWave
{
  WaveId wave_;
  std::string reason_;
};

struct ResumeWave
{
  WaveId wave_;
};

struct EndWave
{
  WaveId wave_;
};

/// A kind of change that is unknown to this version of the program.
struct UnknownChange
{
  std::string kind_;
};

using FleetChange = std::variant<DefinePool,
                                 RemovePool,
                                 DefineService,
                                 RemoveService,
                                 SetQuota,
                                 SetSetting,
                                 VmSeen,
                                 VmDown,
                                 VmUp,
                                 VmGone,
                                 MoveVm,
                                 DrainVm,
                                 UndrainVm,
                                 StartWave,
                                 ReserveStop,
                                 FinishStop,
                                 FailStop,
                                 PauseWave,
                                 ResumeWave,
                                 EndWave,
                                 StartMove,
                                 CancelMove,
                                 UnknownChange>;

/// Object that a change concerns. Each subject has its own version.
using Subject =
  std::variant<PoolId, ServiceId, VmId, WaveId, TeamId, SettingId>;

/// Condition for a record to take effect: the subject was last changed at this
/// offset.
struct Precondition
{
  Subject subject_;
  /// Zero if the subject must not exist yet.
  Offset version_;
};

/// One entry of the `fleet` stream.
struct FleetRecord
{
  RecordId id_;
  WallTime at_;
  OperatorId author_;
  std::vector<Precondition> preconditions_;
  FleetChange change_;
};

} // namespace verbenawell
