#pragma once

#include "verbenawell/core/Time.h"
#include "verbenawell/jobs/model/Ids.h"
#include "verbenawell/jobs/pools/ArrivalRate.h"

#include <map>
#include <set>
#include <utility>

namespace verbenawell::jobs {

/// A VM on its way to another pool.
struct VmMove
{
  ServiceId to_;
  /// The worker that ends with the move.
  WorkerId worker_;
  TimePoint phaseStartedAt_;
  /// The order waits for the VM's tasks to end.
  bool isDraining_ = false;
  bool isAccepted_ = false;
  /// The last order had no answer.
  bool lacksResponse_ = false;
};

/// The moves of VMs between pools. Empty on daemons that do not own.
struct PoolsState
{
  std::map<VmId, VmMove> moves_;
  /// Workers that get no new tasks, since their VM moves.
  std::set<WorkerId> draining_;
  /// Since when a VM has nothing to do.
  std::map<VmId, TimePoint> idleSince_;
  /// The pool in which a VM was first seen; elsewhere it is a visitor.
  std::map<VmId, ServiceId> homes_;
  /// Accepted work that ends by itself.
  std::map<ServiceId, ArrivalRate> arrivals_;
  /// Pools that a VM cannot join.
  std::set<std::pair<VmId, ServiceId>> invalidMoves_;
  bool isActive_ = false;
};

} // namespace verbenawell::jobs
