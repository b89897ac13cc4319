#pragma once

#include "verbenawell/fleet/FleetRecord.h"

#include <string>

namespace verbenawell {

/// The change as one line that a person reads.
std::string
FormatChange(const FleetChange& aChange);

} // namespace verbenawell
