#include "World.h"

#include <algorithm>
#include <iostream>
#include <utility>

namespace verbenawell::fuzz {

void
World::After(Duration aDelay, std::function<void()> aAction)
{
  const TimePoint due = now_ + std::max(aDelay, Duration::zero());
  actions_.push({ due, ++lastOrder_, std::move(aAction) });
}

bool
World::Step(TimePoint aEnd)
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

Duration
World::Between(Duration aLow, Duration aHigh)
{
  const auto span = static_cast<std::size_t>((aHigh - aLow).count());
  return aLow + Duration(Below(span + 1));
}

void
World::Trace(const std::string& aLine) const
{
  if (trace_) {
    std::cout << now_.time_since_epoch().count() / 1000 << " ms " << aLine
              << '\n';
  }
}

} // namespace verbenawell::fuzz
