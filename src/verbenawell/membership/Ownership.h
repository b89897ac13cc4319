#pragma once

#include "verbenawell/core/Ids.h"

#include <string_view>

namespace verbenawell {

struct MembershipState;

/// Chooses the member that owns a key, by rendezvous hashing: a member that
/// joins or leaves changes the owner of its own keys only. Empty while this
/// daemon does not hear a majority of the members, or not for long enough: its
/// view may then name another owner than the majority's view does. Costs one
/// look-up, and one hash a member after a change of the members.
DaemonId
OwnerOf(const MembershipState& aMembership, std::string_view aKey);

DaemonId
OwnerOfPool(const MembershipState& aMembership, const PoolId& aPool);

/// Tells whether `aSelf` records the platform's facts in the fleet stream.
bool
OwnsFleetRecords(const MembershipState& aMembership, const DaemonId& aSelf);

} // namespace verbenawell
