#include "verbenawell/jobs/shares/WorkInQuotas.h"

#include "verbenawell/core/Saturating.h"

#include <algorithm>

namespace verbenawell::jobs {

namespace {

/// Returns the part of the work that a quota of one resource allows in a time.
template<typename Amount>
double
PartOf(double aWork, double aTime, Amount aQuota)
{
  const double allowed = aTime * static_cast<double>(aQuota.Value());
  return aQuota == Amount{} || aWork <= allowed ? 1.0 : allowed / aWork;
}

} // namespace

// The run time is the same for all resources of a task, so the CPU time yields
// the others by the ratio of the resources.
void
WorkInQuotas::Add(const Job& aJob, std::uint64_t aCpuTime)
{
  Work& work = work_[aJob.workspace_];
  std::uint64_t& sum = work.cpuTime_[aJob.service_];
  sum = SaturatingAdd(sum, aCpuTime);
  if (aJob.workspace_.IsEmpty()) {
    return;
  }
  double cpu = 0;
  double memory = 0;
  double accelerators = 0;
  for (std::size_t index = 0; index < aJob.openTasks_.size(); ++index) {
    const Resources& resources = aJob.definition_.steps_[index].resources_;
    const auto tasks = static_cast<double>(aJob.openTasks_[index]);
    cpu += tasks * static_cast<double>(resources.cpu_.Value());
    memory += tasks * static_cast<double>(resources.memory_.Value());
    accelerators += tasks * resources.accelerators_.Value();
  }
  if (cpu > 0) {
    const auto cpuTime = static_cast<double>(aCpuTime);
    work.cpu_ += cpuTime;
    work.memory_ += cpuTime * memory / cpu;
    work.accelerators_ += cpuTime * accelerators / cpu;
  }
}

std::map<ServiceId, std::uint64_t>
WorkInQuotas::Within(Duration aTime,
                     const std::optional<Configuration>& aConfiguration) const
{
  std::map<ServiceId, std::uint64_t> sums;
  for (const auto& [id, work] : work_) {
    const Workspace* workspace =
      aConfiguration ? aConfiguration->Find(id) : nullptr;
    const double part =
      workspace == nullptr ? 1.0 : PartWithin(work, aTime, workspace->quota_);
    for (const auto& [service, cpuTime] : work.cpuTime_) {
      std::uint64_t& sum = sums[service];
      sum = SaturatingAdd(sum,
                          part < 1 ? static_cast<std::uint64_t>(
                                       part * static_cast<double>(cpuTime))
                                   : cpuTime);
    }
  }
  return sums;
}

double
WorkInQuotas::PartWithin(const Work& aWork,
                         Duration aTime,
                         const Resources& aQuota)
{
  const auto time = static_cast<double>(aTime.count());
  return std::min({ PartOf(aWork.cpu_, time, aQuota.cpu_),
                    PartOf(aWork.memory_, time, aQuota.memory_),
                    PartOf(aWork.accelerators_, time, aQuota.accelerators_) });
}

} // namespace verbenawell::jobs
