#pragma once

#include "verbenawell/core/Time.h"
#include "verbenawell/jobs/model/Job.h"

#include <compare>
#include <cstdint>

namespace verbenawell::jobs {

/// CPU time that the tasks of a job still need, by the expected run times of
/// its steps, in millicores times microseconds.
std::uint64_t
RemainingCpuTime(const Job& aJob);

/// CPU time of all tasks of an occurrence, in the same unit.
std::uint64_t
CpuTimeOfOccurrence(const Job& aJob);

/// Whether a job can still end in time.
enum class Urgency : std::uint8_t
{
  /// Has no objective: it serves users until it is cancelled.
  LongRunning,
  /// Can end within its objective.
  InTime,
  /// Can end within three times its objective, when it still has a small value.
  Late,
  /// Must be completed, but has no value any more.
  Overdue,
};

/// Position of a job in the queue of its service; the lowest goes first.
struct JobRank
{
  Urgency urgency_ = Urgency::InTime;
  Priority priority_;
  /// CPU time, in millicores times microseconds.
  std::uint64_t work_ = 0;
  TimePoint acceptedAt_;

  auto operator<=>(const JobRank&) const = default;
};

/// Ranks the jobs of a pool whose load exceeds its capacity. Jobs that can
/// still end in time go first; of these, within a priority, the ones with the
/// least remaining work, since each core second then yields the most value.
/// Late jobs use the capacity after the burst.
JobRank
Rank(const Job& aJob, TimePoint aNow);

} // namespace verbenawell::jobs
