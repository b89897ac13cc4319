#pragma once

#include "verbenawell/core/Time.h"
#include "verbenawell/jobs/model/Job.h"

#include <compare>
#include <cstdint>

namespace verbenawell::jobs {

/// Processor time that a job still asks for, by its declared run times.
struct RemainingWork
{
  /// Thousandths of a core times microseconds.
  std::uint64_t cpu_ = 0;
  /// Longest chain of steps that are not done.
  Duration criticalPath_{};
};

RemainingWork
Remaining(const Job& aJob);

/// How well a job's wait can still end.
enum class Urgency : std::uint8_t
{
  /// Serves its own users while it runs.
  LongRunning,
  /// Can end within its objective.
  InTime,
  /// Can end within three times its objective, which earns a little.
  Late,
  /// Has to end, but earns nothing.
  Overdue,
};

/// Place of a job in the queue of its service; lower is first.
struct JobRank
{
  Urgency urgency_ = Urgency::InTime;
  Priority priority_;
  std::uint64_t work_ = 0;
  TimePoint acceptedAt_;

  auto operator<=>(const JobRank&) const = default;
};

/// Answers a burst above the pool's room: jobs that can still be in time go
/// first, and of these the ones with the least work left, since each core
/// second then earns most. Late jobs use the room after the burst.
JobRank
Rank(const Job& aJob, TimePoint aNow);

} // namespace verbenawell::jobs
