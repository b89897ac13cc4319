#pragma once

#include "verbenawell/core/Time.h"
#include "verbenawell/jobs/advice/AdviceEvents.h"

#include <cstddef>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace verbenawell::jobs {

struct HeldTicket
{
  std::string text_;
  TimePoint validUntil_;
};

/// What is known of where one step may run. It does not change while a
/// worker lives.
struct StepAdvice
{
  std::map<WorkerId, HeldTicket> allowed_;
  std::set<WorkerId> denied_;
};

/// Answers of the advice service. Empty on daemons that do not own.
struct AdviceState
{
  std::map<StepId, StepAdvice> steps_;
  std::vector<AdviceNeed> needs_;
  std::set<StepId> pendingSteps_;
  TimePoint retryAt_;

  /// The ticket to start the step on the worker with, or nothing.
  [[nodiscard]] const HeldTicket* Find(const StepId& aStep,
                                       const WorkerId& aWorker,
                                       TimePoint aNow) const;
  /// Tells whether the service is to be asked about the worker.
  [[nodiscard]] bool IsOpen(const StepId& aStep,
                            const WorkerId& aWorker,
                            TimePoint aNow) const;
};

} // namespace verbenawell::jobs
