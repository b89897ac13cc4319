#pragma once

#include "verbenawell/core/Effect.h"
#include "verbenawell/fleet/FleetState.h"

#include <string>
#include <string_view>

namespace verbenawell {

/// Encodes the fleet state; equal states are encoded as equal bytes.
std::string
EncodeFleet(const FleetState& aFleet);

/// Throws `DecodeError`, also if the state refers to a pool that it lacks.
FleetState
DecodeFleet(std::string_view aBytes);

/// Executes the effect; the result is the event that completes it.
SnapshotEncoded
Encode(const EncodeSnapshot& aEffect);
SnapshotDecoded
Decode(const DecodeSnapshot& aEffect);

} // namespace verbenawell
