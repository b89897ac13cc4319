#pragma once

#include "verbenawell/tool/OperatorClient.h"

#include <iosfwd>
#include <string>

namespace verbenawell {

/// Prints a wave's progress until it has ended; returns false where it is
/// paused or unknown.
bool
WatchWave(const OperatorClientOptions& aOptions,
          const std::string& aWave,
          std::ostream& aOut);

} // namespace verbenawell
