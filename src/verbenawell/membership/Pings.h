#pragma once

#include "verbenawell/core/Context.h"
#include "verbenawell/core/Effect.h"

namespace verbenawell {

struct MembershipState;

/// Pings this daemon's ping targets.
void
PingTargets(MembershipState& aMembership, Effects& aEffects);

/// Asks other members to ping the targets that do not respond to this daemon,
/// so that one broken network path does not make a member suspect.
void
RequestIndirectPings(MembershipState& aMembership,
                     const Context& aContext,
                     Effects& aEffects);

/// Pings a member on behalf of another one. Ignored if the target is unknown or
/// too many such pings are unfinished.
void
RelayPing(MembershipState& aMembership,
          const DaemonId& aFrom,
          const PingRequest& aRequest,
          const Context& aContext,
          Effects& aEffects);

/// Reports a response of the member to those that asked for a ping of it.
void
AcknowledgeRelayedPings(MembershipState& aMembership,
                        const DaemonId& aMember,
                        Effects& aEffects);

/// Pings some of the seeds that are not addresses of active members.
void
PingSeeds(MembershipState& aMembership, Effects& aEffects);

/// Pings addresses of daemons that may have come back. After a partition,
/// neither side pings the other as an active member.
void
PingInactiveAddresses(MembershipState& aMembership, Effects& aEffects);

} // namespace verbenawell
