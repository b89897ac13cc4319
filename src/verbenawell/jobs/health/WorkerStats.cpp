#include "verbenawell/jobs/health/WorkerStats.h"

#include <chrono>
#include <cmath>

namespace verbenawell::jobs {

namespace {

using namespace std::chrono_literals;

// Time in which the weight of an observed speed halves. Workers are slow for
// seconds at a time, and tasks take about one second.
constexpr Duration kHalfLife = 2s;
// Weight of the newest end; three consecutive failures raise the share of
// failed ends above 0.6.
constexpr double kNewestEndWeight = 0.3;
constexpr double kWholePercent = 100;

double
Seconds(Duration aTime)
{
  return std::chrono::duration<double>(aTime).count();
}

} // namespace

void
WorkerStats::Decay(TimePoint aNow)
{
  const double factor =
    std::exp2(-Seconds(aNow - updatedAt_) / Seconds(kHalfLife));
  speed_.expectedSeconds_ *= factor;
  speed_.elapsedSeconds_ *= factor;
  updatedAt_ = aNow;
}

void
WorkerStats::AddProgress(const TaskId& aTask,
                         RunNumber aRun,
                         Percent aPercent,
                         Duration aExpected,
                         TimePoint aNow)
{
  Decay(aNow);
  ObservedRun& seen = runs_[aTask];
  if (seen.run_ == aRun && aPercent >= seen.percent_) {
    speed_.expectedSeconds_ += Seconds(aExpected) *
                               (aPercent.Value() - seen.percent_.Value()) /
                               kWholePercent;
    speed_.elapsedSeconds_ += Seconds(aNow - seen.seenAt_);
  }
  seen = { aRun, aPercent, aNow };
}

void
WorkerStats::AddEnd(const TaskId& aTask, bool aFailed, TimePoint aNow)
{
  Decay(aNow);
  runs_.erase(aTask);
  if (!aFailed) {
    AddSuccess();
  } else if (aTask.job_ != lastFailed_) {
    failedShare_ = failedShare_ * (1 - kNewestEndWeight) + kNewestEndWeight;
    lastFailed_ = aTask.job_;
  }
}

void
WorkerStats::AddStartUp(TimePoint aNow)
{
  Decay(aNow);
  AddSuccess();
}

void
WorkerStats::AddSuccess()
{
  failedShare_ *= 1 - kNewestEndWeight;
  lastFailed_ = JobId{};
}

void
WorkerStats::DropRunsNotSeenSince(TimePoint aSince)
{
  std::erase_if(runs_,
                [&](const auto& aRun) { return aRun.second.seenAt_ < aSince; });
}

} // namespace verbenawell::jobs
