#pragma once

#include "verbenawell/core/Time.h"
#include "verbenawell/fleet/VmFacts.h"

#include <unordered_map>
#include <vector>

namespace verbenawell {

struct FleetState;
struct VmListRead;

/// Facts of a VM that differ from the recorded ones.
struct ChangedFacts
{
  VmFacts facts_;
  TimePoint since_;
};

/// What this daemon has seen of the VM list over time.
struct VmListWatch
{
  TimePoint lastRead_;
  std::unordered_map<VmId, TimePoint> absentSince_;
  std::unordered_map<VmId, ChangedFacts> changed_;
};

/// What has been different for long enough to be recorded.
struct ListDifferences
{
  std::vector<VmId> gone_;
  /// With the boots that are recorded: these follow from other records.
  std::vector<VmFacts> changed_;
  /// The list lacks more VMs than can have left; it proves nothing.
  bool implausible_ = false;
};

/// Compares a list with the fold. A VM is gone, or its facts have changed,
/// only after each list read for some time has shown it.
ListDifferences
WatchVmList(VmListWatch& aWatch,
            const FleetState& aFleet,
            const VmListRead& aList,
            TimePoint aNow);

} // namespace verbenawell
