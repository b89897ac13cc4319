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

/// The slot request is with the pool's owner.
struct WaitingForSlot
{
  DaemonId owner_;
  PoolId pool_;
};

/// No daemon is known to own the pool; it is looked up again with each tick.
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
  /// Workers that have failed the request.
  std::vector<VmId> tried_;
  /// Set once an attempt may have run: the request cannot be refused as not
  /// run any more.
  std::optional<MayHaveRun> mayHaveRun_;
  TimePoint slotRequestedAt_;
  /// Since when daemons have answered that they do not own the pool.
  TimePoint waitingForOwnerSince_;
};

/// What entry daemons know of a pool's owners.
struct PoolClaims
{
  /// Grants of an older term come from an owner that has been replaced.
  Term highestEpoch_;
};

struct EntryState
{
  std::unordered_map<RequestKey, EntryRequest> requests_;
  /// When each request expires, the next one first.
  std::set<std::pair<TimePoint, RequestKey>> deadlines_;
  /// Requests in the phase `WaitingForOwner`.
  std::unordered_set<RequestKey> waitingForOwner_;
  std::map<PoolId, PoolClaims> pools_;
  RetryBudget retryBudget_;
};

} // namespace verbenawell
