#pragma once

#include <deque>
#include <utility>
#include <variant>
#include <vector>

namespace verbenawell {

/// Applies an event and, within the same call, the events that it leads to.
/// `aReduce` returns the effects of one event; `aFollowUp` takes the event out
/// of an effect that is one, or returns nothing for an effect to be executed.
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
