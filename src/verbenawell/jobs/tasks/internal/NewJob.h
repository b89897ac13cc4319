#pragma once

#include "verbenawell/core/Context.h"
#include "verbenawell/jobs/callers/CallerRequest.h"
#include "verbenawell/jobs/model/Configuration.h"
#include "verbenawell/jobs/model/Job.h"

namespace verbenawell::jobs {

struct EstimatesState;

/// Returns a job as it is submitted now, with the settings of its queue and the
/// expected run times of its steps.
Job
NewJob(const SubmitJob& aSubmit,
       const Queue& aQueue,
       const WorkspaceId& aWorkspace,
       const EstimatesState& aEstimates,
       const Context& aContext);

} // namespace verbenawell::jobs
