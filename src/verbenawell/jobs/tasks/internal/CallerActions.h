#pragma once

#include "verbenawell/core/Context.h"
#include "verbenawell/jobs/core/Effect.h"
#include "verbenawell/jobs/core/Views.h"

namespace verbenawell::jobs {

struct TasksState;

/// Decides a caller's request at the owner.
void
DecideRequest(TasksState& aState,
              const Views& aViews,
              const RequestAtOwner& aRequest,
              const Context& aContext,
              Effects& aEffects);

void
AnswerSubmitters(TasksState& aState,
                 const JobId& aJob,
                 const CallerAnswer& aAnswer,
                 Effects& aEffects);

void
AnswerCancellers(TasksState& aState,
                 const JobId& aJob,
                 const CallerAnswer& aAnswer,
                 Effects& aEffects);

/// To a request for a job that this owner does not have.
CallerAnswer
UnknownAnswer(const Views& aViews, const Context& aContext);

/// To a submission that was not stored and never will be.
CallerAnswer
StoreAwayAnswer();

} // namespace verbenawell::jobs
