#pragma once

#include "verbenawell/core/Ids.h"

#include <string_view>

namespace verbenawell {

struct MembershipState;

/// Chooses the live member that owns a key, by rendezvous hashing: a member
/// that joins or leaves changes the owner of its own keys only.
DaemonId
OwnerOf(const MembershipState& aMembership, std::string_view aKey);

DaemonId
OwnerOfPool(const MembershipState& aMembership, const PoolId& aPool);

/// Tells whether `aSelf` records the platform's facts in the fleet stream.
bool
OwnsFleetRecords(const MembershipState& aMembership, const DaemonId& aSelf);

} // namespace verbenawell
