#pragma once

#include "verbenawell/core/Ids.h"
#include "verbenawell/core/Time.h"

#include <string_view>
#include <vector>

namespace verbenawell {

struct MembershipState;

/// Chooses the member that owns a key, by rendezvous hashing: a member that
/// joins or leaves changes the owner of its own keys only. Empty while this
/// daemon has no stable majority, because its view may then give another owner
/// than the view of the majority. Costs one look-up, and one hash per member
/// after a change of the members.
DaemonId
OwnerOf(const MembershipState& aMembership, std::string_view aKey);

/// Members that are neither dead nor have left, this daemon included.
std::vector<DaemonId>
LiveMembers(const MembershipState& aMembership);

/// Tells whether this daemon may own pools: it has heard a majority of the
/// voters for long enough and has not just been paused.
bool
MayOwnPools(const MembershipState& aMembership);

/// Tells whether a member that was declared dead may still run requests. A
/// member that is paused or cut off from the others continues the requests that
/// it has started.
bool
DeadMemberMayRunRequests(const MembershipState& aMembership, WallTime aNow);

DaemonId
OwnerOfPool(const MembershipState& aMembership, const PoolId& aPool);

/// Tells whether `aSelf` writes changes in the platform's VM list to the fleet
/// stream.
bool
OwnsFleetRecords(const MembershipState& aMembership, const DaemonId& aSelf);

} // namespace verbenawell
