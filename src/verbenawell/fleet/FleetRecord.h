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
  /// Least number of serving VMs: the service's availability budget.
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
  /// Most slots the team may hold at once; zero is no limit.
  SlotCount limit_;
};

struct SetSetting
{
  SettingId setting_;
  std::string value_;
};

/// The platform lists a VM for the first time or with new facts.
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

/// Puts a VM that takes no requests into another pool.
struct MoveVm
{
  VmId vm_;
  PoolId to_;
};

/// Drains a VM; `MoveVm` follows once it is idle.
struct StartMove
{
  VmId vm_;
  PoolId to_;
};

/// Lets a VM whose move has not finished serve in its pool again.
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

/// Announces a wave over every VM of a pool, or over the named ones.
struct StartWave
{
  WaveId wave_;
  PoolId pool_;
  std::vector<VmId> vms_;
};

/// Spends one VM of the budget before its planned stop.
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

/// A kind of change that this version of the program does not know.
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

/// What a change is about; versions are kept by subject.
using Subject =
  std::variant<PoolId, ServiceId, VmId, WaveId, TeamId, SettingId>;

/// Holds only where the subject was last changed at this offset.
struct Precondition
{
  Subject subject_;
  /// Zero where the subject must not exist yet.
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
