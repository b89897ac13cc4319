#pragma once

#include "verbenawell/core/Time.h"
#include "verbenawell/jobs/advice/AdviceEvents.h"

#include <cstddef>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace verbenawell::jobs {

struct CachedTicket
{
  std::string text_;
  TimePoint validUntil_;
};

/// Which workers are known to be allowed to run a step, or not to be. This does
/// not change during an incarnation of a worker.
struct StepAdvice
{
  std::map<WorkerId, CachedTicket> allowed_;
  std::set<WorkerId> denied_;
};

/// Responses of the advice service. Empty on daemons that are not the owner.
struct AdviceState
{
  std::map<StepId, StepAdvice> steps_;
  std::vector<AdviceQuery> queries_;
  /// Steps with a call in flight.
  std::set<StepId> pendingSteps_;
  /// No calls are made before then, after a failed one.
  TimePoint retryAt_;

  /// The ticket for starting the step on the worker; null if there is none that
  /// is valid long enough.
  [[nodiscard]] const CachedTicket* Find(const StepId& aStep,
                                         const WorkerId& aWorker,
                                         TimePoint aNow) const;
  /// Tells whether the service has to be asked whether the worker may run the
  /// step.
  [[nodiscard]] bool NeedsAdvice(const StepId& aStep,
                                 const WorkerId& aWorker,
                                 TimePoint aNow) const;
};

} // namespace verbenawell::jobs
