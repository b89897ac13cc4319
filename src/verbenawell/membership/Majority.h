#pragma once

#include "verbenawell/core/Context.h"

namespace verbenawell {

struct MembershipState;

/// Tells whether this daemon hears more than half of the members that it knew
/// in the last 10 s, itself included; of two equal halves, the one with the
/// lowest id counts as the majority. Until this daemon has had a majority
/// once, the seeds of the settings count as members that are not known yet.
/// Without a majority, dead members go on counting until they are forgotten, so
/// that a partition of minutes does not end with an owner on each side.
bool
HearsMajority(const MembershipState& aMembership, const Context& aContext);

/// Decides which members count from now on.
void
UpdateVoters(MembershipState& aMembership, const Context& aContext);

} // namespace verbenawell
