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

/// What a policy decided during one call.
struct Decisions
{
  std::vector<JobNumber> started_;
  std::vector<JobNumber> refused_;
};

/// The owner part of the daemon itself.
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

/// Bounded queues without shares: one for all work, or one per urgency of
/// which the most urgent goes first.
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
