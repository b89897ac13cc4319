#pragma once

#include "verbenawell/requests/Messages.h"
#include "verbenawell/requests/RetryBudget.h"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <unordered_map>
#include <unordered_set>
#include <utility>
#include <variant>
#include <vector>

namespace verbenawell {

/// The request has asked the pool's owner for a slot.
struct WaitingForSlot
{
  DaemonId owner_;
  PoolId pool_;
};

/// No daemon is known to own the pool. The owner is looked up again at each
/// tick.
struct WaitingForOwner
{};

/// The request runs on a backend server.
struct RunningOnWorker
{
  DaemonId owner_;
  SlotGrant grant_;
  TimePoint startedAt_;
};

/// A request whose caller is connected to this daemon.
struct EntryRequest
{
  RequestHead head_;
  TimePoint arrivedAt_;
  std::variant<WaitingForSlot, WaitingForOwner, RunningOnWorker> phase_;
  /// Workers on which attempts of the request have failed.
  std::vector<VmId> tried_;
  /// Set once an attempt may have run. From then on the request must not be
  /// refused as not run.
  std::optional<MayHaveRun> mayHaveRun_;
  TimePoint slotRequestedAt_;
  /// Start of the present wait for an owner of the pool.
  TimePoint waitingForOwnerSince_;
};

/// What an entry daemon knows about the owners of a pool.
struct PoolClaims
{
  /// Grants of a lower epoch come from an owner that has been replaced.
  PoolEpoch highestEpoch_;
};

/// Requests whose callers are connected to this daemon.
struct EntryState
{
  std::unordered_map<RequestKey, EntryRequest> requests_;
  /// Deadlines of the requests, the earliest first.
  std::set<std::pair<TimePoint, RequestKey>> deadlines_;
  /// Requests in the phase `WaitingForOwner`.
  std::unordered_set<RequestKey> waitingForOwner_;
  std::map<PoolId, PoolClaims> pools_;
  RetryBudget retryBudget_;
};

} // namespace verbenawell
