#pragma once

#include "verbenawell/tool/OperatorClient.h"

#include <iosfwd>
#include <string>

namespace verbenawell {

/// Prints the progress of a wave until it ends. Returns false if the wave is
/// paused or unknown.
bool
WatchWave(const OperatorClientOptions& aOptions,
          const std::string& aWave,
          std::ostream& aOut);

} // namespace verbenawell
