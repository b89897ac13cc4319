#pragma once

#include "verbenawell/core/Context.h"
#include "verbenawell/jobs/core/Effect.h"
#include "verbenawell/jobs/core/Views.h"

namespace verbenawell::jobs {

struct JournalState;

/// Appends records to the journal in order, under the owner's epoch.
void
ReduceJournal(JournalState& aState,
              const Views& aViews,
              const Event& aEvent,
              const Context& aContext,
              Effects& aEffects);

} // namespace verbenawell::jobs
