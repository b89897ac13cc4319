#pragma once

#include "verbenawell/core/LogLine.h"
#include "verbenawell/core/Time.h"
#include "verbenawell/jobs/overload/EventClass.h"

#include <array>
#include <cstddef>
#include <optional>
#include <vector>

namespace verbenawell::jobs {

/// Distribution of the time from the arrival of events to their handling, for
/// each class of events in a window.
class EventDelays
{
public:
  void Add(EventClass aClass, Duration aDelay);

  [[nodiscard]] Duration Longest() const;

  /// Begins a new window. Returns a line about the ended one if its longest
  /// delay is worth logging.
  std::optional<LogLine> EndWindow();

private:
  std::array<std::vector<Duration>, kEventClasses> delays_;
};

} // namespace verbenawell::jobs
