#pragma once

#include "verbenawell/core/Event.h"

#include <functional>

namespace verbenawell {

/// Passes an event to the reducer; may be called by any thread.
using EventSink = std::function<void(Event)>;

} // namespace verbenawell
