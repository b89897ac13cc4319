#include "FloodSeries.h"

#include "Row.h"

#include <map>
#include <utility>
#include <vector>

namespace verbenawell::bench {

namespace {

// Length of one burst of the workload. Shorter intervals would show the bursts
// instead of the effect of the flood.
constexpr double kStepSeconds = 4;

using Curve = std::vector<std::pair<double, double>>;

struct Step
{
  double asked_ = 0;
  double inTime_ = 0;
  std::vector<double> latency_;
};

/// Groups the outcomes by the interval in which the requests arrived; an empty
/// `aService` selects all services.
std::map<int, Step>
GroupBySteps(const std::vector<Outcome>& aOutcomes, const std::string& aService)
{
  std::map<int, Step> steps;
  for (const Outcome& outcome : aOutcomes) {
    if (!aService.empty() && outcome.service_.Value() != aService) {
      continue;
    }
    Step& step = steps[static_cast<int>(outcome.arrivedAt_ / kStepSeconds)];
    ++step.asked_;
    step.inTime_ += outcome.inTime_ ? 1 : 0;
    if (outcome.latency_) {
      step.latency_.push_back(*outcome.latency_);
    }
  }
  return steps;
}

void
PrintCurves(const std::string& aFlood,
            const std::string& aName,
            const std::map<int, Step>& aSteps)
{
  Curve goodput;
  Curve latency;
  for (const auto& [number, step] : aSteps) {
    const double at = kStepSeconds * number;
    goodput.emplace_back(at, step.inTime_ / step.asked_);
    if (!step.latency_.empty()) {
      latency.emplace_back(at, P99(step.latency_));
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
    PrintCurves(aFlood, name, GroupBySteps(aOwner.outcomes_, name));
  }
  PrintCurves(aFlood, "all, FIFO", GroupBySteps(aFifo.outcomes_, ""));
}

} // namespace verbenawell::bench
