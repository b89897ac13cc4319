#pragma once

#include "verbenawell/fleet/FleetRecord.h"

#include <string>

namespace verbenawell {

/// Describes the change in one line, in the operators' language.
std::string
FormatChange(const FleetChange& aChange);

} // namespace verbenawell
