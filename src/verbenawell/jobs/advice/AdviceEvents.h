#pragma once

#include "verbenawell/core/Time.h"
#include "verbenawell/jobs/model/Ids.h"
#include "verbenawell/jobs/model/StepId.h"

#include <string>
#include <vector>

namespace verbenawell::jobs {

/// Workers that have capacity for a step and of which it is not known whether
/// they may run it.
struct AdviceQuery
{
  StepId step_;
  std::vector<WorkerId> workers_;
};

/// The queries of the last placement pass, in the order in which the steps are
/// to start. They replace the earlier queries.
struct AdviceRequested
{
  std::vector<AdviceQuery> queries_;
};

/// Permission to run a step on a worker.
struct Ticket
{
  WorkerId worker_;
  std::string text_;
};

/// A response of the advice service. Workers in `askedWorkers_` that have no
/// ticket in `allowed_` may not run the step.
struct AdviceReceived
{
  StepId step_;
  std::vector<WorkerId> askedWorkers_;
  std::vector<Ticket> allowed_;
  /// How long the tickets are valid.
  Duration validity_{};
};

/// The advice service rejected the call or did not respond.
struct AdviceFailed
{
  StepId step_;
  std::string reason_;
};

} // namespace verbenawell::jobs
