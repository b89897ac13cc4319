#pragma once

#include "verbenawell/core/Ids.h"
#include "verbenawell/core/Time.h"

namespace verbenawell {

/// Inputs of a reducer besides its state and the event.
struct Context
{
  TimePoint now_;
  WallTime wallNow_;
  DaemonId self_;
};

} // namespace verbenawell
