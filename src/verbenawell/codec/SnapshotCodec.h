#pragma once

#include "verbenawell/core/Effect.h"
#include "verbenawell/fleet/FleetState.h"

#include <string>
#include <string_view>

namespace verbenawell {

/// Encodes the fold; the same state gives the same bytes.
std::string
EncodeFleet(const FleetState& aFleet);

/// Throws `DecodeError`, also where a part refers to one that is missing.
FleetState
DecodeFleet(std::string_view aBytes);

/// Carries out the effects that encode and decode.
SnapshotEncoded
Encode(const EncodeSnapshot& aEffect);
SnapshotDecoded
Decode(const DecodeSnapshot& aEffect);

} // namespace verbenawell
