#pragma once

#include "verbenawell/core/Context.h"
#include "verbenawell/jobs/core/Effect.h"
#include "verbenawell/jobs/core/Views.h"

namespace verbenawell::jobs {

struct TasksState;

/// Handles a caller's request at the owner.
void
HandleCallerRequest(TasksState& aState,
                    const Views& aViews,
                    const OwnerRequestReceived& aRequest,
                    const Context& aContext,
                    Effects& aEffects);

void
RespondToSubmitters(TasksState& aState,
                    const JobId& aJob,
                    const CallerResponse& aResponse,
                    Effects& aEffects);

void
RespondToCancellers(TasksState& aState,
                    const JobId& aJob,
                    const CallerResponse& aResponse,
                    Effects& aEffects);

/// The response to a request for a job that this owner does not have.
CallerResponse
UnknownJobResponse(const Views& aViews, const Context& aContext);

/// The response to a submission that is not in the journal and never will be.
CallerResponse
StoreUnavailableResponse();

} // namespace verbenawell::jobs
