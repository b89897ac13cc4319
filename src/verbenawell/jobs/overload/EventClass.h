#pragma once

#include "verbenawell/jobs/core/Event.h"

#include <cstddef>
#include <cstdint>
#include <string_view>

namespace verbenawell::jobs {

/// The order in which a daemon that lacks processor time handles events, first
/// to last.
enum class EventClass : std::uint8_t
{
  /// The ownership and the journal, without which nothing else takes effect.
  Ownership,
  /// Cancels, stops and responses to callers.
  Cancel,
  /// What workers and VMs report, including leases and ends of runs.
  Worker,
  /// Submissions and what starts tasks.
  Start,
  Read,
};

constexpr std::size_t kEventClasses = 5;

std::string_view
ToString(EventClass aClass);

EventClass
ClassOf(const Event& aEvent);

} // namespace verbenawell::jobs
