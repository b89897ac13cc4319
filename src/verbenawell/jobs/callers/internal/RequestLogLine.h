#pragma once

#include "verbenawell/core/LogLine.h"
#include "verbenawell/core/Time.h"
#include "verbenawell/jobs/callers/CallersState.h"
#include "verbenawell/jobs/ownership/OwnershipState.h"

#include <string>

namespace verbenawell::jobs {

/// Returns the log line of a decision about a request.
[[nodiscard]] LogLine
RequestLogLine(const char* aEvent,
               const OpenRequest& aOpen,
               const std::string& aReason,
               const OwnershipState& aOwnership,
               TimePoint aNow);

} // namespace verbenawell::jobs
