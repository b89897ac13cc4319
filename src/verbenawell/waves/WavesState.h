#pragma once

#include "verbenawell/core/Ids.h"
#include "verbenawell/core/Time.h"
#include "verbenawell/core/Units.h"
#include "verbenawell/planner/FleetIndex.h"

#include <map>
#include <unordered_set>

namespace verbenawell {

/// A reboot that this daemon has requested and whose planned stop has not ended
/// yet.
struct PendingReboot
{
  WaveId wave_;
  /// Boot count before the reboot.
  BootCount boots_;
  /// When the reboot command was sent first, and last.
  TimePoint firstSentAt_;
  TimePoint lastSentAt_;
  /// The VM has come back with a newer boot.
  bool verified_ = false;
  /// The record last appended to end the stop; empty if there is none.
  RecordId endRecord_;
};

struct WavesState
{
  FleetIndex index_;
  std::map<VmId, PendingReboot> reboots_;
  /// Appended records that are not processed yet. No further stops, refills or
  /// moves are decided until all of them are.
  std::unordered_set<RecordId> pending_;
  std::uint64_t lastRecord_ = 0;
  /// Moving average of the time from the first reboot command to the VM's
  /// return, starting at 60 s.
  Duration rebootTime_ = std::chrono::seconds(60);
  TimePoint scheduleCheckedAt_;
};

} // namespace verbenawell
