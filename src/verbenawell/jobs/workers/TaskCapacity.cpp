#include "verbenawell/jobs/workers/TaskCapacity.h"

#include <algorithm>

namespace verbenawell::jobs {

std::uint64_t
CountTasksThatFit(const WorkerEntry& aWorker,
                  const Resources& aRoom,
                  const Step& aStep,
                  std::uint64_t aLimit)
{
  if (!HasLabel(aWorker, aStep.requiredLabel_)) {
    return 0;
  }
  if (aStep.maxPerWorker_ > TaskCount{}) {
    aLimit = std::min<std::uint64_t>(aLimit, aStep.maxPerWorker_.Value());
  }
  const Resources required = ResourcesOnWorker(aStep);
  const auto limitBy = [&](std::uint64_t aAvailable, std::uint64_t aRequired) {
    if (aRequired > 0) {
      aLimit = std::min(aLimit, aAvailable / aRequired);
    }
  };
  limitBy(aRoom.cpu_.Value(), required.cpu_.Value());
  limitBy(aRoom.memory_.Value(), required.memory_.Value());
  limitBy(aRoom.accelerators_.Value(), required.accelerators_.Value());
  return aLimit;
}

} // namespace verbenawell::jobs
