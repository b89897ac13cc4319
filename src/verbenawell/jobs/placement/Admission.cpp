#include "verbenawell/jobs/placement/Admission.h"

#include "verbenawell/core/Saturating.h"
#include "verbenawell/jobs/tasks/TasksState.h"
#include "verbenawell/jobs/workers/WorkersState.h"

#include <algorithm>

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
// Upper limit of the computed wait. It is longer than any objective, and sums
// with it do not overflow.
constexpr std::uint64_t kMaxWaitMicroseconds = std::uint64_t{ 1 } << 60U;

std::uint64_t
TotalCpu(const WorkersState& aWorkers, const ServiceId& aService)
{
  std::uint64_t cpu = 0;
  for (const auto& [id, worker] : aWorkers.workers_) {
    // An entry may come from another writer or from a worker whose VM has
    // moved. Only a response proves that the worker exists.
    if (worker.isListed_ && worker.hasResponded_ &&
        worker.entry_.service_ == aService) {
      cpu = SaturatingAdd(cpu, worker.entry_.capacity_.cpu_.Value());
    }
  }
  return cpu;
}

} // namespace

std::optional<JobRejected>
Admit(const Job& aJob, const Views& aViews, const Context&)
{
  if (aJob.IsLongRunning() || aJob.definition_.schedule_) {
    return std::nullopt;
  }
  // Without workers the capacity to come is unknown.
  const std::uint64_t cpu = TotalCpu(aViews.workers_, aJob.service_);
  if (cpu == 0) {
    return std::nullopt;
  }
  const Duration wait{ static_cast<Duration::rep>(
    std::min(aViews.tasks_.openJobs_.RemainingCpuTime(aJob.service_) / cpu,
             kMaxWaitMicroseconds)) };
  const Duration maxWait = kMaxObjectives * aJob.policy_.objective_ -
                           CriticalPathTime(aJob.definition_);
  if (wait <= maxWait) {
    return std::nullopt;
  }
  return JobRejected{ RejectReason::Overload,
                      std::clamp(
                        wait - maxWait, kMinRetryAfter, kMaxRetryAfter) };
}

} // namespace verbenawell::jobs
