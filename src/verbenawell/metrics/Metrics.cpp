#include "verbenawell/metrics/Metrics.h"

#include "verbenawell/core/Overloaded.h"

#include <sstream>

namespace verbenawell {

namespace accumulators = boost::accumulators;

namespace {

std::string
MetricName(const CounterKey& aKey)
{
  return std::visit(Overloaded{
                      [](Counter aCounter) {
                        return "verbenawell_" +
                               std::string(ToString(aCounter)) + "_total";
                      },
                      [](RefusalReason aReason) {
                        return "verbenawell_requests_refused_total{reason=\"" +
                               std::string(ToString(aReason)) + "\"}";
                      },
                      [](UnknownReason aReason) {
                        return "verbenawell_requests_unknown_total{reason=\"" +
                               std::string(ToString(aReason)) + "\"}";
                      },
                      [](RetryReason aReason) {
                        return "verbenawell_retries_total{reason=\"" +
                               std::string(ToString(aReason)) + "\"}";
                      },
                    },
                    aKey);
}

template<typename Enum>
void
AddZeros(std::map<CounterKey, std::uint64_t>& aCounters, Enum aLast)
{
  for (int value = 0; value <= static_cast<int>(aLast); ++value) {
    aCounters[static_cast<Enum>(value)] = 0;
  }
}

double
ToSeconds(Duration aValue)
{
  return std::chrono::duration<double>(aValue).count();
}

} // namespace

Metrics::Latency::Latency()
  : median_(accumulators::quantile_probability = 0.5)
  , p99_(accumulators::quantile_probability = 0.99)
{
}

// Every counter is exposed from the start, as zero: a reader can tell "none
// yet" from "not counted".
Metrics::Metrics()
{
  AddZeros(counters_, Counter::ControlBytes);
  AddZeros(counters_, RefusalReason::BuffersFull);
  AddZeros(counters_, UnknownReason::AlreadyStarted);
  AddZeros(counters_, RetryReason::WorkerRefused);
}

void
Metrics::Increment(const CounterKey& aKey, std::uint64_t aBy)
{
  const std::lock_guard lock{ mutex_ };
  counters_[aKey] += aBy;
}

void
Metrics::Set(Gauge aGauge, std::uint64_t aValue)
{
  const std::lock_guard lock{ mutex_ };
  gauges_[aGauge] = aValue;
}

void
Metrics::Record(LatencyMetric aMetric, Duration aValue)
{
  const double seconds = ToSeconds(aValue);
  const std::lock_guard lock{ mutex_ };
  Latency& latency = latencies_[aMetric];
  latency.totals_(seconds);
  latency.median_(seconds);
  latency.p99_(seconds);
}

std::string
Metrics::Expose() const
{
  std::ostringstream out;
  const std::lock_guard lock{ mutex_ };
  for (const auto& [key, value] : counters_) {
    out << MetricName(key) << ' ' << value << '\n';
  }
  for (const auto& [gauge, value] : gauges_) {
    out << "verbenawell_" << ToString(gauge) << ' ' << value << '\n';
  }
  for (const auto& [metric, latency] : latencies_) {
    const std::string name =
      "verbenawell_" + std::string(ToString(metric)) + "_seconds";
    out << name << "{quantile=\"0.5\"} "
        << accumulators::p_square_quantile(latency.median_) << '\n'
        << name << "{quantile=\"0.99\"} "
        << accumulators::p_square_quantile(latency.p99_) << '\n'
        << name << "_max " << accumulators::max(latency.totals_) << '\n'
        << name << "_sum " << accumulators::sum(latency.totals_) << '\n'
        << name << "_count " << accumulators::count(latency.totals_) << '\n';
  }
  return out.str();
}

} // namespace verbenawell
