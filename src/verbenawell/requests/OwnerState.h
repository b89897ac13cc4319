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

/// A granted slot; attempts of an earlier owner have an earlier term.
struct SlotKey
{
  Term term_;
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
  /// When the slot is freed although its release has not arrived.
  TimePoint expiresAt_;
  HeldShare charge_;
  Resources size_;
};

/// Slots freed without a release: their attempts may still run.
struct UnconfirmedSlots
{
  SlotCount count_;
  TimePoint until_;
};

/// A worker kept free for a request that long fitted beside nothing.
struct ReservedWorker
{
  ShareKey share_;
  VmId vm_;
};

struct PoolQueue
{
  Term term_;
  FairQueue queue_;
  WorkerIndex workers_;
  std::unordered_map<VmId, WorkerHealth> health_;
  /// Workers whose health is not `Healthy`.
  std::set<VmId> unhealthy_;
  std::map<SlotKey, GrantedSlot> granted_;
  std::set<std::pair<TimePoint, SlotKey>> expiries_;
  std::map<VmId, UnconfirmedSlots> unconfirmed_;
  std::optional<ReservedWorker> reservedWorker_;
  /// Learned corrections of declared sizes; learned anew by each owner.
  std::map<ServiceId, SizeEstimate> sizes_;
  /// Time of the last usage report of each worker, by the platform's clock.
  std::map<VmId, WallTime> lastReportTimes_;
  /// Until when the figure in `workers_` counts, for workers that have one.
  std::map<VmId, TimePoint> usageValidUntil_;
  std::set<std::pair<TimePoint, VmId>> usageExpiries_;
};

/// Queues of the pools that this daemon owns.
struct OwnerState
{
  std::map<PoolId, PoolQueue> pools_;
  AttemptId lastAttempt_;
  /// VMs that the platform's list shows as leaving or not live. Kept here
  /// because it must hold back new work without the log.
  std::unordered_set<VmId> leaving_;
  /// VMs whose usage has been asked for and not been reported.
  std::set<VmId> usageRequested_;
};

} // namespace verbenawell
