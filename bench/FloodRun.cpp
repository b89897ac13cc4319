#include "FloodRun.h"

#include <algorithm>
#include <functional>
#include <optional>
#include <queue>
#include <utility>

namespace verbenawell::bench {

namespace {

using Seconds = std::chrono::duration<double>;

constexpr Duration kTick = std::chrono::milliseconds(100);

class Simulation
{
public:
  Simulation(Policy aPolicy, const std::vector<Job>& aJobs)
    : policy_(std::move(aPolicy))
    , jobs_(aJobs)
    , accepted_(aJobs.size())
  {
  }

  RunResult Run()
  {
    std::size_t next = 0;
    TimePoint tickAt{ kTick };
    while (next < jobs_.size() || open_ > 0) {
      const bool arrives =
        next < jobs_.size() &&
        (running_.empty() || jobs_[next].arrivesAt_ <= running_.top().first);
      const TimePoint now =
        arrives ? jobs_[next].arrivesAt_
                : (running_.empty() ? tickAt : running_.top().first);
      if (tickAt <= now) {
        Apply(std::visit([&](auto& aPolicy) { return aPolicy.Tick(tickAt); },
                         policy_),
              tickAt);
        tickAt += kTick;
      } else if (arrives) {
        Arrive(next++);
      } else {
        FinishNext();
      }
    }
    return std::move(result_);
  }

private:
  void Arrive(JobNumber aNumber)
  {
    const Job& job = jobs_[aNumber];
    ++open_;
    result_.otherLong_ += IsOtherLong(job) ? 1 : 0;
    const Decisions decisions = std::visit(
      [&](auto& aPolicy) { return aPolicy.Arrive(aNumber, job); }, policy_);
    accepted_[aNumber] = std::ranges::find(decisions.refused_, aNumber) ==
                         decisions.refused_.end();
    Apply(decisions, job.arrivesAt_);
  }

  void FinishNext()
  {
    const TimePoint now = running_.top().first;
    const JobNumber number = running_.top().second;
    running_.pop();
    --open_;
    const Job& job = jobs_[number];
    NoteFinished(job, now);
    Apply(std::visit(
            [&](auto& aPolicy) { return aPolicy.Finish(number, job, now); },
            policy_),
          now);
  }

  void Apply(const Decisions& aDecisions, TimePoint aNow)
  {
    for (const JobNumber number : aDecisions.started_) {
      const Job& job = jobs_[number];
      const double wait = Seconds{ aNow - job.arrivesAt_ }.count();
      if (job.head_.urgency_ == Urgency::Urgent) {
        result_.urgentWait_.push_back(wait);
      }
      if (IsOtherLong(job)) {
        result_.otherLongWait_.push_back(wait);
      }
      running_.emplace(aNow + job.runTime_, number);
    }
    for (const JobNumber number : aDecisions.refused_) {
      --open_;
      result_.longDropped_ +=
        accepted_[number] && jobs_[number].head_.urgency_ == Urgency::Long ? 1
                                                                           : 0;
      if (const Job& job = jobs_[number];
          !job.flood_ && job.head_.urgency_ != Urgency::Long) {
        NoteOutcome(job, {}, false);
      }
    }
  }

  void NoteOutcome(const Job& aJob,
                   std::optional<double> aLatency,
                   bool aInTime)
  {
    result_.outcomes_.push_back(
      { aJob.head_.service_,
        Seconds{ aJob.arrivesAt_.time_since_epoch() }.count(),
        aLatency,
        aInTime });
  }

  void NoteFinished(const Job& aJob, TimePoint aNow)
  {
    const Duration latency = aNow - aJob.arrivesAt_;
    const bool inTime = latency <= aJob.head_.deadline_;
    if (aJob.flood_) {
      result_.floodFinished_ += inTime ? 1 : 0;
      return;
    }
    result_.otherFinished_ += inTime ? 1 : 0;
    if (IsOtherLong(aJob)) {
      result_.otherLongFinished_ += inTime ? 1 : 0;
    } else {
      result_.otherLatency_.push_back(Seconds{ latency }.count());
      NoteOutcome(aJob, Seconds{ latency }.count(), inTime);
    }
  }

  static bool IsOtherLong(const Job& aJob)
  {
    return !aJob.flood_ && aJob.head_.urgency_ == Urgency::Long;
  }

  using End = std::pair<TimePoint, JobNumber>;

  Policy policy_;
  const std::vector<Job>& jobs_;
  std::vector<bool> accepted_;
  std::size_t open_ = 0;
  std::priority_queue<End, std::vector<End>, std::greater<>> running_;
  RunResult result_;
};

} // namespace

RunResult
Run(Policy aPolicy, const std::vector<Job>& aJobs)
{
  return Simulation{ std::move(aPolicy), aJobs }.Run();
}

double
P99(std::vector<double> aSamples)
{
  if (aSamples.empty()) {
    return 0.0;
  }
  constexpr double kQuantile = 0.99;
  const auto rank =
    static_cast<std::size_t>(kQuantile * static_cast<double>(aSamples.size()));
  const auto at = aSamples.begin() + static_cast<std::ptrdiff_t>(
                                       std::min(rank, aSamples.size() - 1));
  std::ranges::nth_element(aSamples, at);
  return *at;
}

} // namespace verbenawell::bench
