#pragma once

#include "verbenawell/core/Time.h"
#include "verbenawell/jobs/model/Ids.h"
#include "verbenawell/jobs/pools/ArrivalRate.h"

#include <map>
#include <set>
#include <utility>

namespace verbenawell::jobs {

/// A move of a VM to another pool.
struct VmMove
{
  ServiceId to_;
  /// The worker that ends with the move.
  WorkerId worker_;
  /// When the drain began; after it, when the command was first sent.
  TimePoint phaseStartedAt_;
  /// The command waits for the VM's tasks to end.
  bool isDraining_ = false;
  bool isAccepted_ = false;
  /// The last command got no response and has to be repeated.
  bool lacksResponse_ = false;
};

/// The moves of VMs between pools. Empty on daemons that are not the owner.
struct PoolsState
{
  std::map<VmId, VmMove> moves_;
  /// Workers that get no new tasks because their VM is to move.
  std::set<WorkerId> draining_;
  /// Since when a VM has been idle.
  std::map<VmId, TimePoint> idleSince_;
  /// The pool in which a VM was first seen; in any other pool it is borrowed.
  std::map<VmId, ServiceId> homePools_;
  /// Accepted work of each pool, without that of long-running jobs.
  std::map<ServiceId, ArrivalRate> arrivals_;
  /// Moves that the platform has rejected because the VM cannot join the pool.
  std::set<std::pair<VmId, ServiceId>> invalidMoves_;
  bool isActive_ = false;
};

} // namespace verbenawell::jobs
