#pragma once

#include "verbenawell/fleet/FleetEvents.h"

#include <string>
#include <string_view>
#include <vector>

namespace verbenawell {

/// Decodes the platform's VM list from JSON; throws `DecodeError`.
std::vector<VmListing>
DecodeVmList(std::string_view aText);

std::string
EncodeVmList(const std::vector<VmListing>& aVms);

} // namespace verbenawell
