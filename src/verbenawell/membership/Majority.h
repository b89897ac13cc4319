#pragma once

#include "verbenawell/core/Context.h"

namespace verbenawell {

struct MembershipState;

/// Tells whether this daemon hears more than half of the voters, itself
/// included. Of two equal halves, the one with the lowest id is the majority.
///
/// A voter is heard while it is active and, if this daemon pings it, responds.
///
/// Voters are the active members and those that have died within the last 10 s.
/// Until this daemon has had a stable majority once, there are at least as many
/// voters as daemons in the settings (the seeds and itself). Without a
/// majority, dead members remain voters until they are removed from the view,
/// so that a partition of minutes does not end with an owner on each side.
bool
HearsMajority(const MembershipState& aMembership, const Context& aContext);

/// Updates which members are voters.
void
UpdateVoters(MembershipState& aMembership, const Context& aContext);

} // namespace verbenawell
