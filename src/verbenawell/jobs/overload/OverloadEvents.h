#pragma once

#include "verbenawell/core/Time.h"

namespace verbenawell::jobs {

/// How long events wait before this daemon handles them.
struct LoopDelayMeasured
{
  Duration delay_{};
};

} // namespace verbenawell::jobs
