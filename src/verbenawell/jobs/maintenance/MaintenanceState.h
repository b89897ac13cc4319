#pragma once

#include "verbenawell/core/Time.h"
#include "verbenawell/jobs/journal/JournalRecord.h"
#include "verbenawell/jobs/maintenance/MaintenanceEvents.h"
#include "verbenawell/jobs/model/Configuration.h"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <vector>

namespace verbenawell::jobs {

enum class VmPhase : std::uint8_t
{
  Pending,
  /// The worker gets no new tasks; running tasks may end.
  Draining,
  /// The command is in flight, or may still be carried out.
  CommandSent,
  /// The VM was taken down and has not been seen up again.
  Down,
  Done,
};

struct VmProgress
{
  VmPhase phase_ = VmPhase::Pending;
  TimePoint since_;
  /// The worker that ends with the maintenance.
  WorkerId worker_;
  /// The last command got no response and has to be repeated.
  bool lacksResponse_ = false;
};

/// The status of a wave that the operator sees.
enum class WaveStatus : std::uint8_t
{
  Unwritten,
  Running,
  Completed,
};

struct WaveProgress
{
  Wave wave_;
  TimePoint startedAt_;
  std::map<VmId, VmProgress> vms_;
  bool isCompleted_ = false;
  /// Of a wave in several shards, the maintenance in the others has ended.
  bool hasEndedElsewhere_ = false;
  WaveStatus writtenStatus_ = WaveStatus::Unwritten;
};

/// The waves that an owner carries out. Empty on other daemons.
struct MaintenanceState
{
  std::map<WaveNumber, WaveProgress> waves_;
  /// Progress of waves in the journal, also of those that are assigned later.
  std::map<WaveNumber, WaveStored> storedWaves_;
  std::map<VmId, ListedVm> vms_;
  /// Workers that get no new tasks because their VM is about to go down.
  std::set<WorkerId> draining_;
  /// When the list of VMs was last requested.
  TimePoint readAt_;
  bool isActive_ = false;
  bool isReading_ = false;
  /// Where the statuses of all waves end, as far as this owner knows.
  Offset statusEnd_;
  bool isWritingStatus_ = false;

  /// Returns whether the maintenance of all VMs of a wave has ended.
  [[nodiscard]] bool HasEnded(WaveNumber aWave) const;
};

} // namespace verbenawell::jobs
