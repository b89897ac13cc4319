#include "FloodSeries.h"

#include "Row.h"

#include <map>
#include <utility>
#include <vector>

namespace verbenawell::bench {

namespace {

// Length of one burst of the workload. Shorter intervals would show the bursts
// instead of the effect of the flood.
constexpr double kIntervalSeconds = 4;

using Curve = std::vector<std::pair<double, double>>;

struct IntervalOutcomes
{
  double requestCount_ = 0;
  double isInTime_ = 0;
  std::vector<double> latency_;
};

/// Groups the outcomes by the interval in which the requests arrived; an empty
/// `aService` selects all services.
std::map<int, IntervalOutcomes>
GroupByInterval(const std::vector<Outcome>& aOutcomes,
                const std::string& aService)
{
  std::map<int, IntervalOutcomes> intervals;
  for (const Outcome& outcome : aOutcomes) {
    if (!aService.empty() && outcome.service_.Value() != aService) {
      continue;
    }
    IntervalOutcomes& interval =
      intervals[static_cast<int>(outcome.arrivedAt_ / kIntervalSeconds)];
    ++interval.requestCount_;
    interval.isInTime_ += outcome.isInTime_ ? 1 : 0;
    if (outcome.latency_) {
      interval.latency_.push_back(*outcome.latency_);
    }
  }
  return intervals;
}

void
PrintCurves(const std::string& aFlood,
            const std::string& aName,
            const std::map<int, IntervalOutcomes>& aIntervals)
{
  Curve goodput;
  Curve latency;
  for (const auto& [number, interval] : aIntervals) {
    const double at = kIntervalSeconds * number;
    goodput.emplace_back(at, interval.isInTime_ / interval.requestCount_);
    if (!interval.latency_.empty()) {
      latency.emplace_back(at, P99(interval.latency_));
    }
  }
  PrintSeries({ "goodput, " + aFlood, aName, "of the requests", "s", goodput });
  PrintSeries({ "p99, " + aFlood, aName, "s", "s", latency });
}

} // namespace

void
PrintFloodSeries(const std::string& aFlood,
                 const RunResult& aOwner,
                 const RunResult& aFifo)
{
  for (std::size_t service = 0; service < kServices; ++service) {
    const std::string name = "service" + std::to_string(service);
    PrintCurves(aFlood, name, GroupByInterval(aOwner.outcomes_, name));
  }
  PrintCurves(aFlood, "all, FIFO", GroupByInterval(aFifo.outcomes_, ""));
}

} // namespace verbenawell::bench
