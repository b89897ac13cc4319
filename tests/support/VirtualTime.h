#pragma once

#include "verbenawell/core/Time.h"

#include <algorithm>
#include <cstddef>
#include <functional>
#include <queue>
#include <utility>
#include <vector>

namespace verbenawell {

/// Runs actions in the order of their due times, without waiting.
class VirtualTime
{
public:
  [[nodiscard]] TimePoint Now() const { return now_; }
  [[nodiscard]] std::size_t Steps() const { return steps_; }

  void After(Duration aDelay, std::function<void()> aAction)
  {
    const TimePoint due = now_ + std::max(aDelay, Duration::zero());
    actions_.push({ due, ++lastSequence_, std::move(aAction) });
  }

  /// Runs the next action; false if none is due by `aEnd`, to which the time
  /// then advances.
  bool Step(TimePoint aEnd)
  {
    if (actions_.empty() || actions_.top().due_ > aEnd) {
      now_ = aEnd;
      return false;
    }
    const Action next = actions_.top();
    actions_.pop();
    now_ = next.due_;
    ++steps_;
    next.run_();
    return true;
  }

  void RunFor(Duration aTime)
  {
    const TimePoint end = now_ + aTime;
    while (Step(end)) {
    }
  }

private:
  struct Action
  {
    TimePoint due_;
    std::size_t sequence_ = 0;
    std::function<void()> run_;

    bool operator>(const Action& aOther) const
    {
      return std::pair{ due_, sequence_ } >
             std::pair{ aOther.due_, aOther.sequence_ };
    }
  };

  TimePoint now_;
  std::size_t steps_ = 0;
  std::size_t lastSequence_ = 0;
  std::priority_queue<Action, std::vector<Action>, std::greater<>> actions_;
};

} // namespace verbenawell
