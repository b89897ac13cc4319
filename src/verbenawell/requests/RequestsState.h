#pragma once

#include "verbenawell/core/Random.h"
#include "verbenawell/requests/EntryState.h"
#include "verbenawell/requests/IntentsState.h"
#include "verbenawell/requests/OwnerState.h"
#include "verbenawell/requests/TakeoverState.h"

namespace verbenawell {

/// Requests received here, and queues of pools owned here.
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
