#pragma once

#include "verbenawell/core/Ids.h"
#include "verbenawell/core/Time.h"
#include "verbenawell/core/Units.h"
#include "verbenawell/planner/FleetIndex.h"

#include <map>
#include <unordered_set>

namespace verbenawell {

/// A reboot that this daemon has ordered, until its stop has ended.
struct PendingReboot
{
  WaveId wave_;
  /// Boot that the reboot replaces.
  BootCount boots_;
  TimePoint firstSentAt_;
  TimePoint lastSentAt_;
  /// The VM has come back.
  bool verified_ = false;
  /// The last record that was to end the stop.
  RecordId endRecord_;
};

struct WavesState
{
  FleetIndex index_;
  std::map<VmId, PendingReboot> reboots_;
  /// Records of this module on their way; one decision waits for them.
  std::unordered_set<RecordId> pending_;
  std::uint64_t lastRecord_ = 0;
  /// Smoothed time from the order of a reboot to the VM's return.
  Duration rebootTime_ = std::chrono::seconds(60);
  TimePoint scheduleCheckedAt_;
};

} // namespace verbenawell
