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

using JobNumber = std::uint64_t;

/// Requests that a policy started or rejected during one call.
struct Decisions
{
  std::vector<JobNumber> started_;
  std::vector<JobNumber> refused_;
};

/// The daemon's own queues and shares: the reducer of a pool's owner.
class OwnerPolicy
{
public:
  explicit OwnerPolicy(std::uint64_t aSeed);

  Decisions Arrive(JobNumber aNumber, const Job& aJob);
  Decisions Finish(JobNumber aNumber, const Job& aJob, TimePoint aNow);
  Decisions Tick(TimePoint aNow);

private:
  Decisions Send(const Event& aEvent, TimePoint aNow);

  State state_;
  std::unordered_map<JobNumber, SlotGrant> grants_;
};

/// The baseline: bounded queues without shares per team or service. Either one
/// FIFO queue for all requests, or one queue per urgency with strict priority
/// for the more urgent one.
class PlainPolicy
{
public:
  explicit PlainPolicy(bool aStrictPriority)
    : strictPriority_(aStrictPriority)
  {
  }

  Decisions Arrive(JobNumber aNumber, const Job& aJob);
  Decisions Finish(JobNumber aNumber, const Job& aJob, TimePoint aNow);
  Decisions Tick(TimePoint aNow);

private:
  struct Waiting
  {
    JobNumber number_ = 0;
    TimePoint deadline_;
  };

  void Start(TimePoint aNow, Decisions& aDecisions);

  bool strictPriority_;
  std::uint32_t free_ = kWorkers * kSlotsPerWorker;
  std::size_t waitingCount_ = 0;
  std::array<std::deque<Waiting>, 3> waiting_;
};

using Policy = std::variant<OwnerPolicy, PlainPolicy>;

} // namespace verbenawell::bench
