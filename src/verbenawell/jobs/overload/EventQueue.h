#pragma once

#include "verbenawell/core/Time.h"
#include "verbenawell/jobs/overload/EventClass.h"
#include "verbenawell/jobs/sharding/ReduceShards.h"

#include <array>
#include <cstddef>
#include <deque>
#include <optional>
#include <set>

namespace verbenawell::jobs {

/// An event with the time for which it has waited.
struct DueEvent
{
  ShardEvent event_;
  EventClass class_{};
  Duration waited_{};
};

/// Holds the events that a daemon has not handled yet, and orders them by their
/// classes. It answers a backlog of work, in which a cancel would otherwise
/// wait behind everything that arrived before it. Events of one class stay in
/// the order of their arrival.
class EventQueue
{
public:
  void Push(ShardEvent aEvent, TimePoint aNow);

  /// Removes the next event; empty if none waits. The time for which a request
  /// has waited is taken off the time that it has left.
  std::optional<DueEvent> Pop(TimePoint aNow);

  [[nodiscard]] bool IsEmpty() const;

  /// Time since the oldest waiting event arrived; zero without one.
  [[nodiscard]] Duration LongestWait(TimePoint aNow) const;

private:
  struct Entry
  {
    ShardEvent event_;
    TimePoint arrivedAt_;
  };
  using Entries = std::deque<Entry>;

  [[nodiscard]] Entries& EntriesOf(EventClass aClass);
  /// Moves waiting submissions of the same job before a cancel.
  void AdvanceSubmissions(const JobId& aJob);
  [[nodiscard]] std::optional<std::size_t> OldestClass() const;
  [[nodiscard]] std::optional<std::size_t> NextClass(TimePoint aNow);

  std::array<Entries, kEventClasses> entries_;
  /// The jobs of the submissions that wait.
  std::multiset<JobId> submitted_;
  /// Events handled in the order of classes since the oldest one was last
  /// handled out of this order.
  int inOrder_ = 0;
};

} // namespace verbenawell::jobs
