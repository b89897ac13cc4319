#pragma once

#include <deque>
#include <utility>
#include <variant>
#include <vector>

namespace verbenawell {

/// Applies an event and then, in order, the events raised by its effects.
/// `aReduce` returns the effects of one event. `aFollowUp` returns the event
/// that an effect raises, or nothing for an effect that the caller has to
/// execute. Returns the effects to execute.
template<typename Effect, typename Event, typename Reduce, typename FollowUp>
std::vector<Effect>
ReduceAll(const Event& aEvent, Reduce aReduce, FollowUp aFollowUp)
{
  std::vector<Effect> result;
  std::deque<Event> pending{ aEvent };
  while (!pending.empty()) {
    const Event event = std::move(pending.front());
    pending.pop_front();
    for (Effect& effect : aReduce(event)) {
      if (auto next = aFollowUp(effect); next) {
        pending.push_back(std::move(*next));
      } else {
        result.push_back(std::move(effect));
      }
    }
  }
  return result;
}

} // namespace verbenawell
