#include "verbenawell/jobs/overload/EventDelays.h"

#include <algorithm>
#include <chrono>
#include <string>

namespace verbenawell::jobs {

namespace {

using namespace std::chrono_literals;

constexpr Duration kMinLoggedDelay = 20ms;

std::string
Milliseconds(Duration aTime)
{
  return std::to_string(
    std::chrono::duration_cast<std::chrono::milliseconds>(aTime).count());
}

Duration
MedianOf(std::vector<Duration>& aDelays)
{
  const auto middle =
    aDelays.begin() + static_cast<std::ptrdiff_t>(aDelays.size() / 2);
  std::ranges::nth_element(aDelays, middle);
  return *middle;
}

} // namespace

void
EventDelays::Add(EventClass aClass, Duration aDelay)
{
  delays_.at(static_cast<std::size_t>(aClass)).push_back(aDelay);
}

Duration
EventDelays::Longest() const
{
  Duration longest{};
  for (const auto& delays : delays_) {
    if (!delays.empty()) {
      longest = std::max(longest, *std::ranges::max_element(delays));
    }
  }
  return longest;
}

std::optional<LogLine>
EventDelays::EndWindow()
{
  std::optional<LogLine> line;
  if (Longest() > kMinLoggedDelay) {
    line = LogLine{ LogLevel::Info, "events_delayed", {} };
    for (std::size_t index = 0; index < delays_.size(); ++index) {
      auto& delays = delays_.at(index);
      if (delays.empty()) {
        continue;
      }
      const std::string name{ ToString(static_cast<EventClass>(index)) };
      line->fields_.emplace_back(name + "_count",
                                 std::to_string(delays.size()));
      line->fields_.emplace_back(name + "_p50_ms",
                                 Milliseconds(MedianOf(delays)));
      line->fields_.emplace_back(
        name + "_max_ms", Milliseconds(*std::ranges::max_element(delays)));
    }
  }
  for (auto& delays : delays_) {
    delays.clear();
  }
  return line;
}

} // namespace verbenawell::jobs
