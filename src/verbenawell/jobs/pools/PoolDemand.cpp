#include "verbenawell/jobs/pools/PoolDemand.h"

#include "verbenawell/core/Saturating.h"
#include "verbenawell/jobs/configuration/ConfigurationState.h"
#include "verbenawell/jobs/placement/JobOrder.h"
#include "verbenawell/jobs/shares/WorkInQuotas.h"
#include "verbenawell/jobs/tasks/TasksState.h"
#include "verbenawell/jobs/workers/WorkersState.h"

#include <algorithm>
#include <set>

namespace verbenawell::jobs {

namespace {

using namespace std::chrono_literals;

// A backlog that a pool finishes within this time needs no more VMs: moving one
// takes nearly as long.
constexpr Duration kMaxBacklogTime = 2s;
// CPU that the arriving work is expected to require, in percent of that of the
// last second. A VM takes about two seconds to move, and during a burst the
// arrival rate rises for as long.
constexpr std::uint64_t kArrivalGrowthPercent = 200;
// Upper limit of a computed number of VMs, far above that of a region.
constexpr std::uint64_t kMaxVms = 1'000'000;

struct PoolSize
{
  std::uint32_t activeVms_ = 0;
  std::uint64_t cpu_ = 0;
  std::map<RackId, std::uint32_t> vmsByRack_;

  [[nodiscard]] std::uint32_t VmsOfLargestRack() const
  {
    std::uint32_t largest = 0;
    for (const auto& [rack, vms] : vmsByRack_) {
      largest = std::max(largest, vms);
    }
    return largest;
  }
};

/// Tells whether the job has a waiting long-running task that one more VM like
/// those of its pool could run.
bool
NeedsAnotherVm(const Job& aJob, const WorkersState& aWorkers)
{
  const auto couldRun = [&](const Step& aStep) {
    return std::ranges::any_of(aWorkers.workers_, [&](const auto& aEntry) {
      const WorkerEntry& worker = aEntry.second.entry_;
      return worker.service_ == aJob.service_ &&
             worker.capacity_.Fits(ResourcesOnWorker(aStep)) &&
             HasLabel(worker, aStep.requiredLabel_);
    });
  };
  for (const auto& [occurrence, tasks] : aJob.occurrences_) {
    for (std::size_t index = 0; index < tasks.steps_.size(); ++index) {
      const Step& step = aJob.definition_.steps_[index];
      if (step.longRunning_ && tasks.steps_[index].waiting_ > TaskCount{} &&
          couldRun(step)) {
        return true;
      }
    }
  }
  return false;
}

std::uint32_t
VmsForCpu(std::uint64_t aCpu, std::uint64_t aCpuOfOne)
{
  return static_cast<std::uint32_t>(std::min(aCpu / aCpuOfOne, kMaxVms)) + 1;
}

/// Least number of VMs that satisfies the job's limits on tasks per worker.
std::uint32_t
VmsForSpread(const JobDefinition& aDefinition)
{
  std::uint32_t vms = 0;
  for (const Step& step : aDefinition.steps_) {
    if (step.longRunning_ && step.maxPerWorker_ > TaskCount{}) {
      vms = std::max(vms,
                     (step.count_.Value() + step.maxPerWorker_.Value() - 1) /
                       step.maxPerWorker_.Value());
    }
  }
  return vms;
}

} // namespace

std::map<ServiceId, PoolDemand>
ComputePoolDemand(const Views& aViews,
                  const std::map<ServiceId, ArrivalRate>& aArrivals,
                  const Context& aContext)
{
  std::map<ServiceId, PoolSize> sizes;
  for (const auto& [id, worker] : aViews.workers_.workers_) {
    // The platform's list shows a worker for a while after its VM has moved,
    // and may contain entries of other writers. Only workers that respond are
    // counted.
    const bool isActive = worker.isListed_ && worker.hasResponded_ &&
                          !worker.entry_.draining_ &&
                          !IsUnresponsive(worker, aContext.now_);
    if (isActive) {
      PoolSize& size = sizes[worker.entry_.service_];
      ++size.activeVms_;
      ++size.vmsByRack_[worker.entry_.rack_];
      size.cpu_ =
        SaturatingAdd(size.cpu_, worker.entry_.capacity_.cpu_.Value());
    }
  }
  WorkInQuotas openWork;
  std::set<ServiceId> needingVm;
  std::map<ServiceId, std::uint32_t> vmsForSpread;
  for (const auto& [id, job] : aViews.tasks_.jobs_) {
    if (job.outcome_ == JobOutcome::Open && job.IsLongRunning()) {
      std::uint32_t& vms = vmsForSpread[job.service_];
      vms = std::max(vms, VmsForSpread(job.definition_));

      if (NeedsAnotherVm(job, aViews.workers_)) {
        needingVm.insert(job.service_);
      }
    } else if (job.outcome_ == JobOutcome::Open &&
               Rank(job, aContext.now_).urgency_ != Urgency::Overdue) {
      openWork.Add(job, RemainingCpuTime(job));
    }
  }
  auto work =
    openWork.Within(kMaxBacklogTime, aViews.configuration_.configuration_);
  std::map<ServiceId, PoolDemand> demand;
  for (const auto& [service, size] : sizes) {
    const std::uint64_t cpuOfOne =
      std::max<std::uint64_t>(1, size.cpu_ / size.activeVms_);
    const auto backlogTime =
      static_cast<std::uint64_t>(kMaxBacklogTime.count());
    const auto arrivals = aArrivals.find(service);
    const std::uint64_t arriving =
      arrivals == aArrivals.end()
        ? 0
        : SaturatingMultiply(arrivals->second.RequiredCpuAt(aContext.now_),
                             kArrivalGrowthPercent) /
            100;
    const std::uint64_t cpu = std::max(work[service] / backlogTime, arriving);
    demand[service] = { size.activeVms_,
                        VmsForCpu(cpu, cpuOfOne),
                        VmsForCpu(arriving, cpuOfOne),
                        vmsForSpread[service] + 1,
                        size.VmsOfLargestRack() };
    if (needingVm.contains(service)) {
      demand[service].requiredVms_ =
        std::max(demand[service].requiredVms_, size.activeVms_ + 1);
    }
  }
  return demand;
}

} // namespace verbenawell::jobs
