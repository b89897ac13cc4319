#pragma once

#include "verbenawell/core/Time.h"
#include "verbenawell/jobs/core/Effect.h"
#include "verbenawell/jobs/core/Views.h"
#include "verbenawell/jobs/model/Ids.h"

#include <set>

namespace verbenawell::jobs {

struct VmProgress;

/// Drains VMs ahead of their maintenance while one event is handled.
class VmDrain
{
public:
  VmDrain(const Views& aViews, TimePoint aNow, Effects& aEffects)
    : views_(aViews)
    , now_(aNow)
    , effects_(aEffects)
  {
  }

  /// Stops long-running tasks on the VM within their disruption budgets.
  /// Returns whether the VM's worker has been drained.
  bool Continue(const VmProgress& aProgress);

private:
  [[nodiscard]] bool StopsStepOf(const TaskId& aTask) const;

  const Views& views_;
  TimePoint now_;
  Effects& effects_;
  std::set<TaskId> consideredTasks_;
  /// The first tasks of the steps of which a task is stopped.
  std::set<TaskId> stoppedSteps_;
};

} // namespace verbenawell::jobs
