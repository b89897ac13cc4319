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
  /// The change as a text in the operators' language.
  std::string text_;
};

/// Who changed a subject last and when, and the change before that.
struct Provenance
{
  Offset offset_;
  Offset previous_;
  OperatorId author_;
  WallTime at_;
  /// The latest changes, oldest first; a bounded number.
  std::vector<HistoryEntry> history_;
};

/// Result of applying a record.
struct RecordOutcome
{
  Offset offset_;
  /// Reason for the refusal; empty if the record took effect.
  std::string refusal_;
};

struct PoolState
{
  bool spare_ = false;
  std::set<VmId> vms_;
  std::set<ServiceId> services_;
  /// Number of serving VMs in `vms_`, updated with each change of a VM.
  VmCount serving_;
};

struct ServiceState
{
  PoolId pool_;
  VmCount budget_;
  /// When the service moved here from another pool, or was defined again after
  /// its removal; zero if neither has happened.
  WallTime movedAt_{};
};

struct VmState
{
  VmFacts facts_;
  PoolId pool_;
  bool down_ = false;
  bool draining_ = false;
  /// Wave that has reserved a planned stop of the VM; empty if none has.
  WaveId stopWave_;
  /// Pool to which the VM moves once it is idle; empty if it does not move.
  PoolId movingTo_;
  /// When a wave last rebooted the VM, or when it was first listed.
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
  /// The latest failures, oldest first.
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

/// Replicated state of the fleet. Every daemon computes it by applying the
/// records of the fleet stream in order, so that the replicated part is the
/// same on all daemons at the same offset.
struct FleetState
{
  /// Offset of the last record applied.
  Offset appliedOffset_;
  std::map<PoolId, PoolState> pools_;
  std::map<ServiceId, ServiceState> services_;
  std::unordered_map<VmId, VmState> vms_;
  std::map<std::pair<TeamId, ServiceId>, QuotaState> quotas_;
  std::map<SettingId, std::string> settings_;
  std::map<WaveId, WaveState> waves_;
  std::unordered_map<Subject, Provenance, SubjectHash> provenance_;
  /// Removed subjects, oldest first. Their provenance is kept for a bounded
  /// number of them.
  std::deque<Subject> removedSubjects_;
  /// Outcomes of the latest records. They make a record that was appended twice
  /// take effect once, and tell the outcome of a record that is contained in a
  /// loaded snapshot.
  std::unordered_map<RecordId, RecordOutcome> recentOutcomes_;
  /// Ids of the latest records, oldest first.
  std::deque<RecordId> recentIds_;
  /// The state was loaded from the log or from a peer; false on a daemon that
  /// has just started. Local to this daemon, not replicated.
  bool loaded_ = false;
  /// VM lists seen by the daemon that owns the fleet records. Local to this
  /// daemon, not replicated.
  VmListWatch watch_;
};

/// Tells whether the VM takes requests: it is up and is not being drained,
/// moved or stopped by a wave.
bool
IsServing(const VmState& aVm);

/// Number of serving VMs in the pool.
VmCount
CountServing(const FleetState& aFleet, const PoolState& aPool);

/// Recomputes the VMs, services and serving counts of all pools from the VMs
/// and services of the fleet.
void
IndexPools(FleetState& aFleet);

/// All subjects that have a version, sorted.
std::vector<Subject>
ListSubjects(const FleetState& aFleet);

/// Largest availability budget of the pool's services.
VmCount
LargestBudget(const FleetState& aFleet, const PoolState& aPool);

/// The spare pool, which receives new VMs; empty if none is defined.
PoolId
FindSparePool(const FleetState& aFleet);

/// Offset at which the subject was last changed; zero if it never was, or if
/// the provenance of a removed subject is no longer kept.
Offset
VersionOf(const FleetState& aFleet, const Subject& aSubject);

} // namespace verbenawell
