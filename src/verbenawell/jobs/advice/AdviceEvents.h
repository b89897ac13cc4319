#pragma once

#include "verbenawell/core/Time.h"
#include "verbenawell/jobs/model/Ids.h"
#include "verbenawell/jobs/model/StepId.h"

#include <string>
#include <vector>

namespace verbenawell::jobs {

/// Workers with room for a step of which it is not known whether they may run
/// it, the step that is to start first in front.
struct AdviceNeed
{
  StepId step_;
  std::vector<WorkerId> workers_;
};

/// What the last pass lacked; replaces the earlier needs.
struct AdviceWanted
{
  std::vector<AdviceNeed> needs_;
};

/// Permission to run a step on a worker.
struct Ticket
{
  WorkerId worker_;
  std::string text_;
};

/// The advice service answered; the workers asked about and not named may not
/// run the step.
struct AdviceGiven
{
  StepId step_;
  std::vector<WorkerId> asked_;
  std::vector<Ticket> allowed_;
  /// How long the tickets hold.
  Duration validity_{};
};

/// The advice service refused the call, or did not answer.
struct AdviceFailed
{
  StepId step_;
  std::string reason_;
};

} // namespace verbenawell::jobs
