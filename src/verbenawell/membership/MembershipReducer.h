#pragma once

#include "verbenawell/core/Context.h"
#include "verbenawell/core/Effect.h"
#include "verbenawell/core/Views.h"

namespace verbenawell {

struct MembershipState;

/// Maintains this daemon's view of the live daemons: exchanges pings and
/// updates, and determines whether this daemon has a majority.
void
ReduceMembership(MembershipState& aMembership,
                 const Views& aViews,
                 const Event& aEvent,
                 const Context& aContext,
                 Effects& aEffects);

} // namespace verbenawell
