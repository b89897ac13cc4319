#pragma once

#include "verbenawell/core/Event.h"

#include <functional>

namespace verbenawell {

/// Hands an event to the core; may be called by any thread.
using EventSink = std::function<void(Event)>;

} // namespace verbenawell
