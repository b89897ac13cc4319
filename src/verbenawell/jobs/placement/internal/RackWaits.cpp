#include "verbenawell/jobs/placement/internal/RackWaits.h"

#include <chrono>

namespace verbenawell::jobs {

namespace {

// Time after which a gang that prefers one rack may run on several ones. A
// short task takes about one second, and a new owner knows of all workers by
// then. It is shorter than the 3 s that a job may wait while there is room for
// it.
constexpr Duration kMaxRackWait = std::chrono::milliseconds(1500);

} // namespace

std::optional<std::vector<Choice>>
RackWaits::Choose(ServiceCapacity& aCapacity,
                  const std::vector<TaskId>& aMembers,
                  const Step& aStep,
                  const Permission& aPermission,
                  const Task& aHistory)
{
  auto choices =
    aCapacity.ChooseWorkers(aMembers, aStep, aPermission, aHistory);
  if (choices || !aStep.sameRack_) {
    return choices;
  }
  const StepId gang = StepOf(aMembers.front());
  const auto known = earlier_.find(gang);
  const TimePoint since = known == earlier_.end() ? now_ : known->second;
  if (now_ - since >= kMaxRackWait) {
    choices = aCapacity.ChooseWorkersAcrossRacks(
      aMembers, aStep, aPermission, aHistory);
  }
  if (!choices) {
    waiting_.emplace(gang, since);
  }
  return choices;
}

} // namespace verbenawell::jobs
