#pragma once

#include "verbenawell/core/Ids.h"
#include "verbenawell/core/Time.h"

#include <string_view>
#include <vector>

namespace verbenawell {

struct MembershipState;

/// Chooses the member that owns a key, by rendezvous hashing: a member that
/// joins or leaves changes the owner of its own keys only. Empty while this
/// daemon does not hear a majority of the members, or not for long enough: its
/// view may then name another owner than the majority's view does. Costs one
/// look-up, and one hash a member after a change of the members.
DaemonId
OwnerOf(const MembershipState& aMembership, std::string_view aKey);

/// Members that are neither dead nor gone, this daemon included.
std::vector<DaemonId>
LiveMembers(const MembershipState& aMembership);

/// Tells whether this daemon may own pools: it hears a majority of the
/// members and has not just been paused.
bool
MayOwnPools(const MembershipState& aMembership);

/// Tells whether a member that is taken for dead may still run requests: one
/// that is paused or cut off goes on with those that it has begun.
bool
MayRunUnheard(const MembershipState& aMembership, WallTime aNow);

DaemonId
OwnerOfPool(const MembershipState& aMembership, const PoolId& aPool);

/// Tells whether `aSelf` records the platform's facts in the fleet stream.
bool
OwnsFleetRecords(const MembershipState& aMembership, const DaemonId& aSelf);

} // namespace verbenawell
