#pragma once

#include "verbenawell/core/Context.h"
#include "verbenawell/core/Effect.h"
#include "verbenawell/core/Views.h"

#include <span>

/// At-most-once execution of non-idempotent requests. A slot request enters the
/// queue of its pool (`SlotRequestReady`) only after its intent has been read
/// back from the log in a valid batch.
namespace verbenawell {

struct IntentsState;

void
ReduceIntents(IntentsState& aIntents,
              const Views& aViews,
              const Event& aEvent,
              const Context& aContext,
              Effects& aEffects);

/// Marks committed requests by the queue's decisions: a granted request may
/// run, and a refused one has not run.
void
ApplyDecisions(IntentsState& aIntents, std::span<const Effect> aDecided);

} // namespace verbenawell
