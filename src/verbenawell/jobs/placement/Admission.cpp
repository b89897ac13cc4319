#include "verbenawell/jobs/placement/Admission.h"

#include "verbenawell/core/Saturating.h"
#include "verbenawell/jobs/configuration/ConfigurationState.h"
#include "verbenawell/jobs/shares/FairBacklog.h"
#include "verbenawell/jobs/tasks/TasksState.h"
#include "verbenawell/jobs/workers/WorkersState.h"

#include <algorithm>
#include <limits>

namespace verbenawell::jobs {

namespace {

using namespace std::chrono_literals;

// A job is rejected if the work ahead of it and its own critical path take
// longer than this many times its objective with the present capacity. The
// actual time is about three objectives, until which a job has a value: a pool
// borrows up to three times its own VMs in a burst, and the backlog counts
// running tasks in full.
constexpr int kMaxObjectives = 10;
constexpr Duration kMinRetryAfter = 1s;
constexpr Duration kMaxRetryAfter = 30s;

struct Wait
{
  Duration time_{};
  RejectReason reason_ = RejectReason::Overload;
};

// Returns the CPU of a service's workers, or of the first of them that together
// have `aEnough`. Each submission needs this, and the first workers suffice
// while the backlog is short.
std::uint64_t
CpuUpTo(std::uint64_t aEnough,
        const WorkersState& aWorkers,
        const ServiceId& aService)
{
  std::uint64_t cpu = 0;
  for (const auto& [id, worker] : aWorkers.workers_) {
    // An entry may come from another writer or from a worker whose VM has
    // moved. Only a response proves that the worker exists.
    if (worker.isListed_ && worker.hasResponded_ &&
        worker.entry_.service_ == aService) {
      cpu = SaturatingAdd(cpu, worker.entry_.capacity_.cpu_.Value());
      if (cpu >= aEnough) {
        break;
      }
    }
  }
  return cpu;
}

// The least CPU with which the work takes at most `aMaxWait`.
std::uint64_t
CpuFor(std::uint64_t aCpuTime, Duration aMaxWait)
{
  return aMaxWait < Duration::zero()
           ? std::numeric_limits<std::uint64_t>::max()
           : aCpuTime / (static_cast<std::uint64_t>(aMaxWait.count()) + 1) + 1;
}

/// The wait for the backlog of a pool with this CPU. A workspace within its
/// share does not wait for the backlog that another one builds up.
Wait
WaitForPool(const Job& aJob, std::uint64_t aCpu, const Views& aViews)
{
  const OpenJobIndex& openJobs = aViews.tasks_.openJobs_;
  const std::uint64_t cpuTime = openJobs.RemainingCpuTime(aJob.service_);
  const auto& configuration = aViews.configuration_.configuration_;
  if (aJob.workspace_.IsEmpty() || !configuration) {
    return { TimeFor(cpuTime, aCpu) };
  }
  const FairBacklog backlog =
    ComputeFairBacklog(aJob.workspace_,
                       openJobs.Workspaces().In(aJob.service_),
                       cpuTime,
                       *configuration);
  return { TimeFor(backlog.cpuTimeAhead_, aCpu),
           backlog.isBeyondShare_ ? RejectReason::WorkspaceOverload
                                  : RejectReason::Overload };
}

/// The wait of a workspace that has more work than its quota lets it run.
Wait
WaitForQuota(const Job& aJob, const Views& aViews)
{
  const auto& configuration = aViews.configuration_.configuration_;
  if (aJob.workspace_.IsEmpty() || !configuration) {
    return {};
  }
  return { TimeWithinQuota(
             aJob.workspace_,
             aViews.tasks_.openJobs_.Workspaces().In(aJob.service_),
             *configuration),
           RejectReason::WorkspaceOverload };
}

} // namespace

std::optional<JobRejected>
Admit(const Job& aJob, const Views& aViews, const Context&)
{
  if (aJob.IsLongRunning() || aJob.definition_.schedule_) {
    return std::nullopt;
  }
  const std::uint64_t cpuTime =
    aViews.tasks_.openJobs_.RemainingCpuTime(aJob.service_);
  const Duration maxWait =
    kMaxObjectives * aJob.policy_.objective_ - CriticalPathTime(aJob);
  const std::uint64_t enough = CpuFor(cpuTime, maxWait);
  const std::uint64_t cpu = CpuUpTo(enough, aViews.workers_, aJob.service_);
  // Without workers the capacity to come is unknown.
  if (cpu == 0) {
    return std::nullopt;
  }
  Wait wait = WaitForQuota(aJob, aViews);
  if (cpu < enough) {
    wait = std::max(
      wait, WaitForPool(aJob, cpu, aViews), [](const Wait& aA, const Wait& aB) {
        return aA.time_ < aB.time_;
      });
  }
  if (wait.time_ <= maxWait) {
    return std::nullopt;
  }
  return JobRejected{ wait.reason_,
                      std::clamp(
                        wait.time_ - maxWait, kMinRetryAfter, kMaxRetryAfter) };
}

} // namespace verbenawell::jobs
