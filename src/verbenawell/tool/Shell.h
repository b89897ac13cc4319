#pragma once

#include "verbenawell/operators/OperatorResponse.h"

#include <functional>
#include <string>

namespace verbenawell {

/// Reads commands from the terminal, with history and completion, until the
/// end of input; hands each to `aRun`.
void
RunShell(const std::function<void(const std::string&)>& aRun);

} // namespace verbenawell
