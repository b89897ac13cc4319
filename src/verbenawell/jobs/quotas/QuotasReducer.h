#pragma once

#include "verbenawell/core/Context.h"
#include "verbenawell/jobs/core/Effect.h"
#include "verbenawell/jobs/core/Event.h"
#include "verbenawell/jobs/core/Views.h"

namespace verbenawell::jobs {

struct QuotasState;

/// Learns the quotas, reports the shard's demand to the owner of the first
/// shard, and divides the quotas there.
void
ReduceQuotas(QuotasState& aState,
             const Views& aViews,
             const Event& aEvent,
             const Context& aContext,
             Effects& aEffects);

} // namespace verbenawell::jobs
