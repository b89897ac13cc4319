#pragma once

#include "verbenawell/fleet/FleetRecord.h"
#include "verbenawell/fleet/VmListWatch.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

namespace verbenawell {

/// One change of a subject.
struct HistoryEntry
{
  Offset offset_;
  OperatorId author_;
  WallTime at_;
  /// The change in the words of the operators' language.
  std::string text_;
};

/// Who changed a subject last, and what the change replaced.
struct Provenance
{
  Offset offset_;
  Offset previous_;
  OperatorId author_;
  WallTime at_;
  /// The latest changes, the oldest first.
  std::vector<HistoryEntry> history_;
};

/// What became of a record.
struct RecordOutcome
{
  Offset offset_;
  /// Empty where the record took effect.
  std::string refusal_;
};

struct PoolState
{
  bool spare_ = false;
  std::set<VmId> vms_;
  std::set<ServiceId> services_;
  /// VMs of `vms_` that serve; kept with each change of a VM.
  VmCount serving_;
};

struct ServiceState
{
  PoolId pool_;
  VmCount budget_;
  /// When the service left another pool, or was defined again.
  WallTime movedAt_{};
};

struct VmState
{
  VmFacts facts_;
  PoolId pool_;
  bool down_ = false;
  bool draining_ = false;
  /// The wave that has reserved a planned stop; empty where none has.
  WaveId stop_;
  /// The pool that the VM moves to once it is idle; empty where none.
  PoolId movingTo_;
  /// When the VM was first seen, or rebooted by a wave.
  WallTime maintainedAt_;
};

struct QuotaState
{
  ShareWeight weight_;
  SlotCount limit_;
};

enum class StopStatus : std::uint8_t
{
  Waiting,
  Reserved,
  Finished,
  Failed,
};

/// A VM that failed while a wave ran in its pool.
struct WaveFailure
{
  WallTime at_;
  RackId rack_;
};

struct WaveState
{
  PoolId pool_;
  std::map<VmId, StopStatus> stops_;
  WallTime startedAt_;
  /// The latest failures, the oldest first.
  std::deque<WaveFailure> failures_;
  bool paused_ = false;
  std::string pauseReason_;
  bool ended_ = false;
  /// Offset of the record that ended the wave.
  Offset endedAt_;
};

struct SubjectHash
{
  std::size_t operator()(const Subject& aSubject) const;
};

/// The fold of the fleet stream; the same on every daemon at one offset.
struct FleetState
{
  /// Offset of the last record applied.
  Offset through_;
  std::map<PoolId, PoolState> pools_;
  std::map<ServiceId, ServiceState> services_;
  std::unordered_map<VmId, VmState> vms_;
  std::map<std::pair<TeamId, ServiceId>, QuotaState> quotas_;
  std::map<SettingId, std::string> settings_;
  std::map<WaveId, WaveState> waves_;
  std::unordered_map<Subject, Provenance, SubjectHash> provenance_;
  /// Subjects that were removed, the oldest first; a bounded number of them
  /// keeps its provenance.
  std::deque<Subject> removed_;
  /// The latest records, so that a record appended twice counts once and the
  /// outcome of a record inside a snapshot is known.
  std::unordered_map<RecordId, RecordOutcome> recent_;
  std::deque<RecordId> recentOrder_;
  /// The state is the log's or a peer's, not the empty one of a daemon that
  /// has just started. A fact of this daemon, not a part of the fold.
  bool loaded_ = false;
  /// Kept by the daemon that records the platform's facts; not a part of the
  /// fold either.
  VmListWatch watch_;
};

/// Tells whether the VM can run requests and is not about to stop.
bool
IsServing(const VmState& aVm);

/// VMs of the pool that serve now.
VmCount
CountServing(const FleetState& aFleet, const PoolState& aPool);

/// Derives the members, services and serving counts of the pools from the VMs
/// and services.
void
IndexPools(FleetState& aFleet);

/// Every subject that has a version, in their order.
std::vector<Subject>
ListSubjects(const FleetState& aFleet);

/// Largest availability budget of the pool's services.
VmCount
LargestBudget(const FleetState& aFleet, const PoolState& aPool);

/// The pool that receives new VMs; empty where none is defined.
PoolId
FindSparePool(const FleetState& aFleet);

/// Offset at which the subject was last changed; zero where it never was.
Offset
VersionOf(const FleetState& aFleet, const Subject& aSubject);

} // namespace verbenawell
