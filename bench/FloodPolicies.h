#pragma once

#include "verbenawell/core/Effect.h"
#include "verbenawell/core/State.h"

#include "FloodWorkload.h"

#include <array>
#include <deque>
#include <unordered_map>
#include <variant>
#include <vector>

namespace verbenawell::bench {

using RequestNumber = std::uint64_t;

/// Requests that a policy started or rejected during one call.
struct PolicyDecisions
{
  std::vector<RequestNumber> started_;
  std::vector<RequestNumber> rejected_;
};

/// The daemon's own queues and shares: the reducer of a pool's owner.
class OwnerPolicy
{
public:
  explicit OwnerPolicy(std::uint64_t aSeed);

  PolicyDecisions Arrive(RequestNumber aNumber,
                         const SimulatedRequest& aRequest);
  PolicyDecisions Finish(RequestNumber aNumber,
                         const SimulatedRequest& aRequest,
                         TimePoint aNow);
  PolicyDecisions Tick(TimePoint aNow);

private:
  PolicyDecisions Send(const Event& aEvent, TimePoint aNow);

  State state_;
  std::unordered_map<RequestNumber, SlotGrant> grants_;
};

/// The baseline: bounded queues without shares per team or service. Either one
/// FIFO queue for all requests, or one queue per urgency with strict priority
/// for the more urgent one.
class BoundedQueuePolicy
{
public:
  explicit BoundedQueuePolicy(bool aStrictPriority)
    : strictPriority_(aStrictPriority)
  {
  }

  PolicyDecisions Arrive(RequestNumber aNumber,
                         const SimulatedRequest& aRequest);
  PolicyDecisions Finish(RequestNumber aNumber,
                         const SimulatedRequest& aRequest,
                         TimePoint aNow);
  PolicyDecisions Tick(TimePoint aNow);

private:
  struct WaitingRequest
  {
    RequestNumber number_ = 0;
    TimePoint deadline_;
  };

  void Start(TimePoint aNow, PolicyDecisions& aDecisions);

  bool strictPriority_;
  std::uint32_t freeSlots_ = kWorkers * kSlotsPerWorker;
  std::size_t waitingCount_ = 0;
  std::array<std::deque<WaitingRequest>, 3> queues_;
};

using Policy = std::variant<OwnerPolicy, BoundedQueuePolicy>;

} // namespace verbenawell::bench
