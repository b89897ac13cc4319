#pragma once

#include "verbenawell/core/Context.h"
#include "verbenawell/core/Effect.h"
#include "verbenawell/core/Views.h"

namespace verbenawell {

struct MembershipState;

/// Keeps the view of live daemons.
void
ReduceMembership(MembershipState& aMembership,
                 const Views& aViews,
                 const Event& aEvent,
                 const Context& aContext,
                 Effects& aEffects);

} // namespace verbenawell
