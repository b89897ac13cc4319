#include "verbenawell/jobs/health/WorkerRecord.h"

#include <chrono>
#include <cmath>

namespace verbenawell::jobs {

namespace {

using namespace std::chrono_literals;

// A worker turns slow for seconds, and tasks take about one.
constexpr Duration kHalfLife = 2s;
// Weight of the newest end; three failures in a row pass 0.6.
constexpr double kEndWeight = 0.3;
constexpr double kWhole = 100;

double
Seconds(Duration aTime)
{
  return std::chrono::duration<double>(aTime).count();
}

} // namespace

void
WorkerRecord::Decay(TimePoint aNow)
{
  const double factor =
    std::exp2(-Seconds(aNow - updatedAt_) / Seconds(kHalfLife));
  speed_.declaredSeconds_ *= factor;
  speed_.takenSeconds_ *= factor;
  updatedAt_ = aNow;
}

void
WorkerRecord::AddProgress(const TaskId& aTask,
                          RunNumber aRun,
                          Percent aPercent,
                          Duration aDeclared,
                          TimePoint aNow)
{
  Decay(aNow);
  SeenRun& seen = runs_[aTask];
  if (seen.run_ == aRun && aPercent >= seen.percent_) {
    speed_.declaredSeconds_ +=
      Seconds(aDeclared) * (aPercent.Value() - seen.percent_.Value()) / kWhole;
    speed_.takenSeconds_ += Seconds(aNow - seen.at_);
  }
  seen = { aRun, aPercent, aNow };
}

void
WorkerRecord::AddEnd(const TaskId& aTask, bool aFailed, TimePoint aNow)
{
  Decay(aNow);
  runs_.erase(aTask);
  if (!aFailed) {
    failedShare_ *= 1 - kEndWeight;
    lastFailed_ = JobId{};
  } else if (aTask.job_ != lastFailed_) {
    failedShare_ = failedShare_ * (1 - kEndWeight) + kEndWeight;
    lastFailed_ = aTask.job_;
  }
}

void
WorkerRecord::KeepRunsSince(TimePoint aListedAt)
{
  std::erase_if(runs_,
                [&](const auto& aRun) { return aRun.second.at_ < aListedAt; });
}

} // namespace verbenawell::jobs
