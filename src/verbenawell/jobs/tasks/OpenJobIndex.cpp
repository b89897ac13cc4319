#include "verbenawell/jobs/tasks/OpenJobIndex.h"

#include "verbenawell/core/Saturating.h"
#include "verbenawell/jobs/placement/JobOrder.h"

#include <algorithm>

namespace verbenawell::jobs {

namespace {

constexpr std::uint64_t kMicrosecondsPerSecond = 1'000'000;

std::uint64_t
CpuSeconds(const Job& aJob)
{
  std::uint64_t cpuTime = jobs::RemainingCpuTime(aJob);
  // A backlog of occurrences ranks behind the jobs that can still be in time,
  // so it must not make the admission reject them.
  if (aJob.definition_.schedule_) {
    cpuTime = std::min(cpuTime, CpuTimeOfOccurrence(aJob));
  }
  return cpuTime / kMicrosecondsPerSecond +
         (cpuTime % kMicrosecondsPerSecond == 0 ? 0 : 1);
}

WorkspaceLoad
LoadOf(const Job& aJob)
{
  return { aJob.workspace_.IsEmpty() ? Resources{} : ResourcesInUse(aJob),
           aJob.IsLongRunning() ? 0 : CpuSeconds(aJob),
           1 };
}

bool
HasTaskToStart(const Job& aJob)
{
  // Usually the newest occurrences wait.
  for (auto entry = aJob.occurrences_.rbegin();
       entry != aJob.occurrences_.rend();
       ++entry) {
    const auto& [occurrence, tasks] = *entry;
    for (std::uint32_t step = 0; step < tasks.steps_.size(); ++step) {
      if (tasks.steps_[step].waiting_ > TaskCount{} &&
          aJob.IsReady(occurrence, StepIndex{ step })) {
        return true;
      }
    }
  }
  return false;
}

} // namespace

void
OpenJobIndex::Update(const Job& aJob)
{
  Remove(aJob.id_);
  if (aJob.outcome_ != JobOutcome::Open) {
    return;
  }
  const Entry entry{ aJob.service_,
                     aJob.queue_,
                     aJob.workspace_,
                     LoadOf(aJob),
                     aJob.stored_ && !aJob.isHandedOver_ &&
                       HasTaskToStart(aJob),
                     aJob.stored_ && !aJob.started_ };
  cpuSeconds_[entry.service_] += entry.load_.cpuSeconds_;
  if (!entry.workspace_.IsEmpty()) {
    workspaces_.Add(entry.service_, entry.workspace_, entry.load_);
  }
  if (entry.isWaiting_) {
    waiting_[entry.service_].insert(aJob.id_);
    ++waitingCount_;
  }
  if (entry.isPending_) {
    ++pending_[entry.queue_];
  }
  entries_.emplace(aJob.id_, entry);
}

void
OpenJobIndex::Remove(const JobId& aJob)
{
  const auto found = entries_.find(aJob);
  if (found == entries_.end()) {
    return;
  }
  const Entry& entry = found->second;
  cpuSeconds_[entry.service_] -= entry.load_.cpuSeconds_;
  if (!entry.workspace_.IsEmpty()) {
    workspaces_.Remove(entry.service_, entry.workspace_, entry.load_);
  }
  if (entry.isWaiting_) {
    const auto waiting = waiting_.find(entry.service_);
    waiting->second.erase(aJob);
    --waitingCount_;
    if (waiting->second.empty()) {
      waiting_.erase(waiting);
    }
  }
  if (entry.isPending_) {
    --pending_[entry.queue_];
  }
  entries_.erase(found);
}

std::uint64_t
OpenJobIndex::RemainingCpuTime(const ServiceId& aService) const
{
  const auto found = cpuSeconds_.find(aService);
  return found == cpuSeconds_.end()
           ? 0
           : SaturatingMultiply(found->second, kMicrosecondsPerSecond);
}

std::uint64_t
OpenJobIndex::Pending(const QueueId& aQueue) const
{
  const auto found = pending_.find(aQueue);
  return found == pending_.end() ? 0 : found->second;
}

} // namespace verbenawell::jobs
