#pragma once

#include "verbenawell/core/Time.h"

namespace verbenawell::jobs {

/// How long before its caller's deadline a request has to be responded to.
Duration
ResponseMargin(Duration aTimeLeft);

} // namespace verbenawell::jobs
