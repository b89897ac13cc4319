#pragma once

#include "verbenawell/core/Time.h"
#include "verbenawell/jobs/model/Job.h"
#include "verbenawell/jobs/model/StepId.h"
#include "verbenawell/jobs/placement/WorkerChoice.h"

#include <map>
#include <optional>
#include <vector>

namespace verbenawell::jobs {

/// Gangs that prefer one rack and find none with room, with the time since when
/// they wait for it.
using RackWaitTimes = std::map<StepId, TimePoint>;

/// Chooses the workers of gangs during one pass.
class RackWaits
{
public:
  /// `aEarlier` holds the gangs that waited after the pass before.
  RackWaits(const RackWaitTimes& aEarlier, TimePoint aNow)
    : earlier_(aEarlier)
    , now_(aNow)
  {
  }

  /// Reserves resources for all members or for none.
  std::optional<std::vector<Choice>> Choose(ServiceCapacity& aCapacity,
                                            const std::vector<TaskId>& aMembers,
                                            const Step& aStep,
                                            const Permission& aPermission,
                                            const Task& aHistory);

  [[nodiscard]] const RackWaitTimes& Waiting() const { return waiting_; }

private:
  const RackWaitTimes& earlier_;
  TimePoint now_;
  RackWaitTimes waiting_;
};

} // namespace verbenawell::jobs
