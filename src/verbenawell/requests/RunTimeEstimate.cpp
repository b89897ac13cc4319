#include "verbenawell/requests/RunTimeEstimate.h"

#include <algorithm>

namespace verbenawell {

namespace {

using Seconds = std::chrono::duration<double>;

// Assumed while nothing was declared or observed.
constexpr Duration kUnknownRunTime = std::chrono::milliseconds(100);

// Exponential moving average over about the last 16 attempts.
constexpr double kLearningRate = 1.0 / 16.0;

// Limits of the ratio of observed to declared run time, so that a single
// outlier has a limited effect.
constexpr double kMinFactor = 0.1;
constexpr double kMaxFactor = 10.0;

} // namespace

Duration
RunTimeEstimate::Expect(Duration aDeclared) const
{
  if (aDeclared > Duration::zero()) {
    return std::chrono::duration_cast<Duration>(aDeclared * factor_);
  }
  return hasMean_ ? Mean() : kUnknownRunTime;
}

Duration
RunTimeEstimate::MeanRunTime(Duration aDeclared) const
{
  return hasMean_ ? Mean() : Expect(aDeclared);
}

Duration
RunTimeEstimate::Mean() const
{
  return std::chrono::duration_cast<Duration>(Seconds{ meanSeconds_ });
}

void
RunTimeEstimate::Learn(Duration aDeclared, Duration aObserved)
{
  const double observed = Seconds{ aObserved }.count();
  meanSeconds_ = hasMean_
                   ? meanSeconds_ + kLearningRate * (observed - meanSeconds_)
                   : observed;
  hasMean_ = true;
  if (aDeclared > Duration::zero()) {
    const double ratio = std::clamp(
      observed / Seconds{ aDeclared }.count(), kMinFactor, kMaxFactor);
    factor_ += kLearningRate * (ratio - factor_);
  }
}

} // namespace verbenawell
