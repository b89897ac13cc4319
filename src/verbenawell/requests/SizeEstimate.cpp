#include "verbenawell/requests/SizeEstimate.h"

#include <algorithm>
#include <cmath>

namespace verbenawell {

namespace {

// Exponential moving average over about the last 16 requests.
constexpr double kLearningRate = 1.0 / 16.0;

// Reports lag behind the requests that they measure, so the mean of the
// declared sizes covers more requests than one report does.
constexpr double kDeclaredRate = 1.0 / 64.0;

// Declarations that are wrong by a factor of ten must be corrected. A larger
// ratio more likely comes from a wrong report.
constexpr double kMinFactor = 0.1;
constexpr double kMaxFactor = 10.0;

constexpr double kMilli = 1000.0;

// Keeps rounding errors from adding a whole core.
constexpr double kRoundingError = 1e-6;

} // namespace

void
SizeEstimate::RecordDeclared(const Resources& aDeclared)
{
  cores_.RecordDeclared(aDeclared.cores_.Value());
  memory_.RecordDeclared(static_cast<double>(aDeclared.memory_.Value()));
}

void
SizeEstimate::Learn(const ServiceUsage& aUsage)
{
  const double rate = 1.0 - std::pow(1.0 - kLearningRate, aUsage.requests_);
  cores_.Learn(static_cast<double>(aUsage.perRequest_.cores_.Value()) / kMilli,
               rate);
  memory_.Learn(static_cast<double>(aUsage.perRequest_.memory_.Value()), rate);
}

Resources
SizeEstimate::Correct(const Resources& aDeclared) const
{
  Resources size = aDeclared;
  size.cores_ = Cores{ static_cast<std::uint32_t>(
    cores_.Correct(aDeclared.cores_.Value())) };
  size.memory_ = Megabytes{ static_cast<std::uint64_t>(
    memory_.Correct(static_cast<double>(aDeclared.memory_.Value()))) };
  return size;
}

void
SizeEstimate::Part::RecordDeclared(double aDeclared)
{
  if (aDeclared > 0.0) {
    declared_ = declared_ == 0.0
                  ? aDeclared
                  : declared_ + kDeclaredRate * (aDeclared - declared_);
  }
}

void
SizeEstimate::Part::Learn(double aUsed, double aRate)
{
  if (declared_ > 0.0) {
    const double ratio = std::clamp(aUsed / declared_, kMinFactor, kMaxFactor);
    factor_ += aRate * (ratio - factor_);
  }
}

double
SizeEstimate::Part::Correct(double aDeclared) const
{
  return std::max(0.0, std::ceil(aDeclared * factor_ - kRoundingError));
}

} // namespace verbenawell
