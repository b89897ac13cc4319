#pragma once

#include "verbenawell/requests/Messages.h"

#include <cstdint>
#include <deque>
#include <map>
#include <unordered_map>
#include <vector>

namespace verbenawell {

/// A request is known at its owner by its entry daemon and key.
struct TicketId
{
  DaemonId entry_;
  RequestKey key_;

  auto operator<=>(const TicketId&) const = default;
};

/// A slot request in the queue of a pool.
struct QueuedTicket
{
  TicketId id_;
  SlotRequest request_;
  TimePoint queuedAt_;
  TimePoint deadline_;
};

/// A slot that has been granted and not released.
struct GrantedSlot
{
  TicketId ticket_;
  VmId vm_;
  TimePoint grantedAt_;
};

struct PoolQueue
{
  Term term_;
  std::deque<QueuedTicket> waiting_;
  std::unordered_map<AttemptId, GrantedSlot> granted_;
  std::unordered_map<VmId, SlotCount> running_;
};

/// Queues of the pools that this daemon owns.
struct OwnerState
{
  std::map<PoolId, PoolQueue> pools_;
  AttemptId lastAttempt_;
};

} // namespace verbenawell
