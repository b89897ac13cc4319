#pragma once

#include "verbenawell/core/Time.h"
#include "verbenawell/fleet/VmFacts.h"

#include <unordered_map>
#include <vector>

namespace verbenawell {

struct FleetState;
struct VmListRead;

/// Listed properties of a VM that differ from the recorded ones.
struct ChangedFacts
{
  VmFacts facts_;
  TimePoint since_;
};

/// Differences between the VM lists and the fleet state, with the time since
/// which this daemon has seen them.
struct VmListWatch
{
  TimePoint lastRead_;
  std::unordered_map<VmId, TimePoint> absentSince_;
  std::unordered_map<VmId, ChangedFacts> changed_;
};

/// Differences that have lasted long enough to be recorded.
struct ListDifferences
{
  std::vector<VmId> gone_;
  /// Changed properties, but with the recorded boot count: `VmUp` and
  /// `FinishStop` records update that.
  std::vector<VmFacts> changed_;
  /// More VMs are missing than can have left at once. The list is considered
  /// faulty, and no VM is reported as gone.
  bool implausible_ = false;
};

/// Compares a VM list with the fleet state. Reports a VM as gone, or its
/// properties as changed, only once every list read for a minimum time has
/// shown it.
ListDifferences
WatchVmList(VmListWatch& aWatch,
            const FleetState& aFleet,
            const VmListRead& aList,
            TimePoint aNow);

} // namespace verbenawell
