#pragma once

#include "verbenawell/core/Context.h"
#include "verbenawell/core/Effect.h"
#include "verbenawell/core/Views.h"

#include <span>

/// At-most-once execution of non-idempotent requests. A ticket reaches the
/// queue of its pool (`TicketReady`) once its intent has been read back from
/// the log, in a valid batch.
namespace verbenawell {

struct IntentsState;

void
ReduceIntents(IntentsState& aIntents,
              const Views& aViews,
              const Event& aEvent,
              const Context& aContext,
              Effects& aEffects);

/// Learns from the grants and refusals of the queue which committed tickets
/// may run and which surely did not.
void
FollowDecisions(IntentsState& aIntents, std::span<const Effect> aDecided);

} // namespace verbenawell
