#include "verbenawell/jobs/estimates/EstimateErrors.h"

#include <algorithm>
#include <cmath>

namespace verbenawell::jobs {

namespace {

// Width of a bin of the logarithm.
constexpr double kBinWidth = 0.05;

} // namespace

void
EstimateErrors::Add(Duration aExpected, Duration aReal)
{
  if (aExpected <= Duration{} || aReal <= Duration{}) {
    return;
  }
  const double error =
    std::abs(std::log(static_cast<double>(aReal.count()) /
                      static_cast<double>(aExpected.count())));
  ++bins_.at(std::min(static_cast<std::size_t>(error / kBinWidth), kBins - 1));
  ++count_;
}

double
EstimateErrors::Percentile(double aShare) const
{
  const double wanted = aShare * static_cast<double>(count_);
  std::uint64_t sum = 0;
  for (std::size_t bin = 0; bin < kBins; ++bin) {
    sum += bins_.at(bin);
    if (sum > 0 && static_cast<double>(sum) >= wanted) {
      return std::exp((static_cast<double>(bin) + 0.5) * kBinWidth);
    }
  }
  return 0;
}

} // namespace verbenawell::jobs
