#pragma once

#include "verbenawell/requests/Messages.h"

#include <cstdint>
#include <unordered_map>
#include <variant>
#include <vector>

namespace verbenawell {

/// The slot request is with the pool's owner.
struct WaitingForSlot
{
  DaemonId owner_;
  PoolId pool_;
};

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
  std::variant<WaitingForSlot, RunningOnWorker> phase_;
  std::vector<VmId> tried_;
};

struct EntryState
{
  std::unordered_map<RequestKey, EntryRequest> requests_;
};

} // namespace verbenawell
