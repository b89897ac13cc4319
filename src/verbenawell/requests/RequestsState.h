#pragma once

#include "verbenawell/core/Random.h"
#include "verbenawell/requests/EntryState.h"
#include "verbenawell/requests/IntentsState.h"
#include "verbenawell/requests/OwnerState.h"
#include "verbenawell/requests/TakeoverState.h"

namespace verbenawell {

/// State of the requests that this daemon receives from callers, and of the
/// pool queues that it owns.
struct RequestsState
{
  EntryState entry_;
  OwnerState owner_;
  TakeoverState takeover_;
  IntentsState intents_;
  Random random_;
  bool stopping_ = false;
};

} // namespace verbenawell
