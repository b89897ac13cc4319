#pragma once

#include "verbenawell/core/Context.h"
#include "verbenawell/core/Effect.h"

namespace verbenawell {

struct MembershipState;

/// Pings the members that this daemon watches.
void
PingTargets(MembershipState& aMembership, Effects& aEffects);

/// Asks others to ping the watched members that are silent here, so that one
/// broken path does not make a member suspect.
void
RequestIndirectPings(MembershipState& aMembership,
                     const Context& aContext,
                     Effects& aEffects);

/// Pings a member on behalf of another one.
void
RelayPing(MembershipState& aMembership,
          const DaemonId& aFrom,
          const PingRequest& aRequest,
          const Context& aContext,
          Effects& aEffects);

/// Tells those that had asked for it that the member answers.
void
AcknowledgeRelayedPings(MembershipState& aMembership,
                        const DaemonId& aMember,
                        Effects& aEffects);

/// Pings some of the seeds that are not known as members.
void
PingSeeds(MembershipState& aMembership, Effects& aEffects);

/// Looks for daemons that may be back: after a partition, neither side pings
/// the other as a member.
void
PingInactiveAddresses(MembershipState& aMembership, Effects& aEffects);

} // namespace verbenawell
