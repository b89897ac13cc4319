#pragma once

#include "verbenawell/requests/FairQueue.h"
#include "verbenawell/requests/SizeEstimate.h"
#include "verbenawell/requests/WorkerHealth.h"
#include "verbenawell/requests/WorkerIndex.h"

#include <map>
#include <optional>
#include <set>
#include <unordered_map>
#include <unordered_set>
#include <utility>

namespace verbenawell {

/// Identifies a granted slot. Slots that an earlier owner granted have a lower
/// epoch.
struct SlotKey
{
  PoolEpoch epoch_;
  AttemptId attempt_;

  auto operator<=>(const SlotKey&) const = default;
};

/// A slot that has been granted and not released.
struct GrantedSlot
{
  QueuedRequestId queuedRequest_;
  VmId vm_;
  Endpoint address_;
  TimePoint grantedAt_;
  /// The slot is freed at this time even if its release has not arrived.
  TimePoint expiresAt_;
  SlotCharge charge_;
  Resources size_;
};

/// Slots of a worker that were freed without a release. Their attempts may run
/// until `until_`.
struct UnconfirmedSlots
{
  SlotCount count_;
  TimePoint until_;
};

/// A worker that is reserved for a request that has waited for resources too
/// long. It starts no other request.
struct ReservedWorker
{
  ShareKey share_;
  VmId vm_;
};

/// Queue, workers and granted slots of one pool, kept by the pool's owner.
struct PoolQueue
{
  PoolEpoch epoch_;
  FairQueue queue_;
  WorkerIndex workers_;
  std::unordered_map<VmId, WorkerHealth> health_;
  /// Workers whose health is not `Healthy`.
  std::set<VmId> unhealthy_;
  std::map<SlotKey, GrantedSlot> granted_;
  std::set<std::pair<TimePoint, SlotKey>> expiries_;
  std::map<VmId, UnconfirmedSlots> unconfirmed_;
  std::optional<ReservedWorker> reservedWorker_;
  /// Learned corrections of declared sizes. A new owner starts without them.
  std::map<ServiceId, SizeEstimate> sizes_;
  /// Time of the last usage report of each worker, by the platform's clock.
  std::map<VmId, WallTime> lastReportTimes_;
  /// Expiry time of the usage value in `workers_`, for workers that have one.
  std::map<VmId, TimePoint> usageValidUntil_;
  std::set<std::pair<TimePoint, VmId>> usageExpiries_;
};

/// Queues of the pools that this daemon owns.
struct OwnerState
{
  std::map<PoolId, PoolQueue> pools_;
  AttemptId lastAttempt_;
  /// VMs that the platform's list shows as leaving or not live. They get no
  /// new work. Kept here because this must not wait for a write to the log.
  std::unordered_set<VmId> leaving_;
  /// VMs whose usage has been requested and not yet reported.
  std::set<VmId> usageRequested_;
};

} // namespace verbenawell
