#pragma once

#include "verbenawell/core/Context.h"
#include "verbenawell/jobs/core/Effect.h"

namespace verbenawell::jobs {

struct TasksState;

/// Begins to hand over the jobs that can run only in other shards. Jobs that
/// have begun here stay.
void
BeginHandOvers(TasksState& aState,
               const JobsStranded& aStranded,
               Effects& aEffects);

/// The hand-over is in the journal, so the other shard is asked to store the
/// job.
void
OfferJob(TasksState& aState,
         const JobId& aJob,
         const Context& aContext,
         Effects& aEffects);

/// Repeats requests without a response, and asks from time to time whether the
/// other shards still have the jobs.
void
ContinueHandOvers(TasksState& aState,
                  const Context& aContext,
                  Effects& aEffects);

void
ApplyShardResponse(TasksState& aState,
                   const ShardResponded& aResponse,
                   Effects& aEffects);

/// The other shard has the job, so this one forgets it.
void
CompleteHandOver(TasksState& aState,
                 const JobId& aJob,
                 const Context& aContext,
                 Effects& aEffects);

} // namespace verbenawell::jobs
