#include "verbenawell/jobs/shares/WorkspaceLoads.h"

namespace verbenawell::jobs {

namespace {

Resources
Multiply(const Resources& aResources, std::uint64_t aCount)
{
  return { MilliCores{ aResources.cpu_.Value() * aCount },
           Megabytes{ aResources.memory_.Value() * aCount },
           Accelerators{ static_cast<std::uint32_t>(
             aResources.accelerators_.Value() * aCount) } };
}

} // namespace

void
WorkspaceLoads::Add(const ServiceId& aService,
                    const WorkspaceId& aWorkspace,
                    const WorkspaceLoad& aLoad)
{
  WorkspaceLoad& load = loads_[aService][aWorkspace];
  load.used_ += aLoad.used_;
  load.cpuSeconds_ += aLoad.cpuSeconds_;
  load.jobs_ += aLoad.jobs_;
}

void
WorkspaceLoads::Remove(const ServiceId& aService,
                       const WorkspaceId& aWorkspace,
                       const WorkspaceLoad& aLoad)
{
  ById& loads = loads_.at(aService);
  const auto found = loads.find(aWorkspace);
  WorkspaceLoad& load = found->second;
  load.used_ -= aLoad.used_;
  load.cpuSeconds_ -= aLoad.cpuSeconds_;
  load.jobs_ -= aLoad.jobs_;
  if (load.jobs_ == 0) {
    loads.erase(found);
  }
}

const WorkspaceLoads::ById&
WorkspaceLoads::In(const ServiceId& aService) const
{
  static const ById kNone;
  const auto found = loads_.find(aService);
  return found == loads_.end() ? kNone : found->second;
}

// Tasks with a run fit on a worker, so the sums do not overflow whatever a
// caller declares.
Resources
ResourcesInUse(const Job& aJob)
{
  Resources used;
  for (const auto& [occurrence, tasks] : aJob.occurrences_) {
    for (std::size_t index = 0; index < tasks.steps_.size(); ++index) {
      const StepTasks& step = tasks.steps_[index];
      const std::uint64_t placed =
        step.tasks_.size() - step.done_.Value() - step.waiting_.Value();
      if (const Step& definition = aJob.definition_.steps_[index];
          placed > 0 && !definition.longRunning_) {
        used += Multiply(ResourcesOnWorker(definition), placed);
      }
    }
  }
  return used;
}

} // namespace verbenawell::jobs
