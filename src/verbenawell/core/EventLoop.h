#pragma once

#include <cstddef>
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
  // Empty for most events, so that these allocate no queue.
  std::vector<Event> pending;
  const auto collect = [&](std::vector<Effect> aEffects) {
    for (Effect& effect : aEffects) {
      if (auto next = aFollowUp(effect); next) {
        pending.push_back(std::move(*next));
      } else {
        result.push_back(std::move(effect));
      }
    }
  };
  collect(aReduce(aEvent));
  for (std::size_t next = 0; next < pending.size(); ++next) {
    const Event event = std::move(pending[next]);
    collect(aReduce(event));
  }
  return result;
}

} // namespace verbenawell
