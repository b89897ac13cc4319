#include "PoolReplay.h"

#include "verbenawell/jobs/placement/Admission.h"
#include "verbenawell/jobs/placement/PlacementReducer.h"

#include "SimulatedDeployment.h"

#include <algorithm>
#include <cmath>
#include <limits>

namespace verbenawell::jobs {

namespace {

using namespace std::chrono_literals;

constexpr Duration kStep = 10ms;
const Resources kWorker{ MilliCores{ 32'000 }, Megabytes{ 128'000 }, {} };

Duration
ObjectiveOf(Duration aRunTime)
{
  return aRunTime * 16 / 10 + 600ms;
}

} // namespace

PoolReplay::PoolReplay(std::uint64_t aSeed, int aWorkers, Order aOrder)
  : random_(aSeed)
  , order_(aOrder)
{
  state_.journal_.phase_ = JournalReady{};
  state_.configuration_.configuration_.emplace().workspaces_.emplace();
  // No workspace has a quota.
  state_.quotas_.isConfigured_ = true;
  for (int index = 0; index < aWorkers; ++index) {
    const WorkerId id{ "w" + std::to_string(index) };
    Worker& worker = state_.workers_.workers_[id];
    worker.entry_.worker_ = id;
    worker.entry_.service_ = kService;
    worker.entry_.capacity_ = kWorker;
    worker.isListed_ = true;
    worker.isStored_ = true;
    worker.hasResponded_ = true;
    pool_ += kWorker;
  }
}

void
PoolReplay::SetWeight(const WorkspaceId& aWorkspace, double aWeight)
{
  state_.configuration_.configuration_->workspaces_->push_back(
    { aWorkspace, WorkspaceWeight{ aWeight }, {} });
}

void
PoolReplay::Add(const JobStream& aStream)
{
  double at = std::chrono::duration<double>(aStream.from_).count();
  for (;;) {
    const double uniform =
      (static_cast<double>(random_.Below(1'000'000)) + 1) / 1'000'000;
    at -= std::log(uniform) / aStream.perSecond_;
    const auto offset =
      std::chrono::duration_cast<Duration>(std::chrono::duration<double>(at));
    if (offset >= aStream.until_) {
      return;
    }
    arrivals_.emplace(begin_ + offset, aStream);
  }
}

void
PoolReplay::RunUntil(Duration aTime)
{
  for (; now_ < begin_ + aTime; now_ += kStep) {
    EndRuns();
    while (!arrivals_.empty() && arrivals_.begin()->first <= now_) {
      Submit(arrivals_.begin()->second);
      arrivals_.erase(arrivals_.begin());
    }
    PlaceTasks();
  }
}

const CallerCounts&
PoolReplay::Counts(const WorkspaceId& aWorkspace) const
{
  return counts_.at(aWorkspace);
}

double
PoolReplay::CpuShare(const WorkspaceId& aWorkspace) const
{
  const auto found = used_.find(aWorkspace);
  return found == used_.end()
           ? 0
           : static_cast<double>(found->second.cpu_.Value()) /
               static_cast<double>(pool_.cpu_.Value());
}

double
PoolReplay::CpuShare() const
{
  double sum = 0;
  for (const auto& [id, used] : used_) {
    sum += CpuShare(id);
  }
  return sum;
}

void
PoolReplay::Submit(const JobStream& aStream)
{
  Job job;
  job.id_ = JobId{ std::to_string(1'000'000 + ++lastJob_) };
  job.service_ = kService;
  job.queue_ = kQueue;
  job.stored_ = true;
  job.acceptedAt_ = now_;
  if (order_ == Order::FairShares) {
    job.workspace_ = aStream.workspace_;
  }
  Step& step = job.definition_.steps_.emplace_back();
  step.count_ = TaskCount{ aStream.tasks_ };
  step.resources_ = aStream.resources_;
  step.estimatedRunTime_ = Duration{ static_cast<Duration::rep>(
    static_cast<double>(aStream.runTime_.count()) * aStream.declared_) };
  job.policy_.maxAttempts_ = TaskCount{ 2 };
  job.policy_.objective_ = ObjectiveOf(aStream.runTime_);
  AddOccurrence(job);
  CallerCounts& counts = counts_[aStream.workspace_];
  ++counts.sent_;
  if (const auto rejected = Admit(job, state_.View(), { now_, {}, {} });
      rejected) {
    ++counts.rejected_[rejected->reason_];
    counts.longestRetryAfter_ =
      std::max(counts.longestRetryAfter_, rejected->retryAfter_);
    return;
  }
  job.policy_.priority_ = PriorityOf(aStream);
  sent_.emplace(job.id_, SentJob{ aStream.workspace_, now_, aStream.runTime_ });
  const JobId id = job.id_;
  state_.tasks_.openJobs_.Update(
    state_.tasks_.jobs_.emplace(id, std::move(job)).first->second);
}

void
PoolReplay::EndRuns()
{
  while (!runs_.empty() && runs_.begin()->first <= now_) {
    const Run run = runs_.begin()->second;
    runs_.erase(runs_.begin());
    Worker& worker = state_.workers_.workers_.at(run.worker_);
    worker.runs_.erase(run.task_);
    worker.used_ -= run.resources_;
    Job& job = state_.tasks_.jobs_.at(run.task_.job_);
    const SentJob& sent = sent_.at(job.id_);
    used_[sent.workspace_] -= run.resources_;
    SetStatus(job, run.task_, Done{});
    if (!job.occurrences_.begin()->second.steps_[0].IsDone()) {
      state_.tasks_.openJobs_.Update(job);
      continue;
    }
    if (now_ - sent.sentAt_ <= ObjectiveOf(sent.runTime_)) {
      ++counts_[sent.workspace_].inTime_;
    }
    state_.tasks_.openJobs_.Remove(job.id_);
    state_.tasks_.jobs_.erase(run.task_.job_);
  }
}

void
PoolReplay::PlaceTasks()
{
  for (auto& [id, worker] : state_.workers_.workers_) {
    worker.lease_.reading_ = ClockReading{ {}, now_ };
    worker.lastResponseAt_ = now_;
  }
  Effects effects;
  ReducePlacement(state_.placement_,
                  state_.View(),
                  TimerDue{ PlacementPass{} },
                  { now_, {}, {} },
                  effects);
  for (const Effect& effect : effects) {
    const auto* raise = std::get_if<Raise>(&effect);
    if (const auto* decided = raise == nullptr
                                ? nullptr
                                : std::get_if<StartsDecided>(&raise->event_)) {
      for (const StartDecision& start : decided->starts_) {
        Start(start);
      }
    }
  }
}

void
PoolReplay::Start(const StartDecision& aStart)
{
  Job& job = state_.tasks_.jobs_.at(aStart.task_.job_);
  SetStatus(job, aStart.task_, Placed{ aStart.worker_, aStart.run_, now_ });
  state_.tasks_.openJobs_.Update(job);
  Worker& worker = state_.workers_.workers_.at(aStart.worker_);
  Assignment& assignment = worker.runs_[aStart.task_];
  assignment.run_ = aStart.run_;
  assignment.resources_ = aStart.resources_;
  assignment.phase_ = Present{};
  worker.used_ += aStart.resources_;
  const SentJob& sent = sent_.at(job.id_);
  used_[sent.workspace_] += aStart.resources_;
  runs_.emplace(now_ + sent.runTime_,
                Run{ aStart.task_, aStart.worker_, aStart.resources_ });
}

Priority
PoolReplay::PriorityOf(const JobStream& aStream)
{
  if (order_ != Order::WeightedByArrival) {
    return {};
  }
  const Configuration& configuration = *state_.configuration_.configuration_;
  const double cost = static_cast<double>(aStream.tasks_) *
                      static_cast<double>(aStream.resources_.cpu_.Value()) *
                      static_cast<double>(aStream.runTime_.count()) *
                      aStream.declared_;
  const double share = configuration.Find(aStream.workspace_)->weight_.Value() *
                       static_cast<double>(pool_.cpu_.Value());
  double total = 0;
  for (const Workspace& workspace : *configuration.workspaces_) {
    total += workspace.weight_.Value();
  }
  double& finish = virtualFinish_[aStream.workspace_];
  finish = std::max(finish, static_cast<double>((now_ - begin_).count())) +
           cost / share * total;
  // Priorities count milliseconds.
  return Priority{ static_cast<std::int32_t>(
    std::min(finish / 1000, 2'000'000'000.0)) };
}

} // namespace verbenawell::jobs
