#pragma once

#include "verbenawell/core/Context.h"
#include "verbenawell/jobs/callers/CallerRequest.h"
#include "verbenawell/jobs/core/Views.h"
#include "verbenawell/jobs/model/Job.h"

#include <optional>

namespace verbenawell::jobs {

/// Rejects a job at once if the work ahead of it would delay its end until it
/// has no value any more. Limits the backlog under a long overload. Empty to
/// accept.
std::optional<JobRejected>
Admit(const Job& aJob, const Views& aViews, const Context& aContext);

} // namespace verbenawell::jobs
