#pragma once

#include "verbenawell/core/Time.h"
#include "verbenawell/metrics/Counter.h"

#include <cstdint>
#include <map>
#include <mutex>
#include <string>

#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/max.hpp>
#include <boost/accumulators/statistics/p_square_quantile.hpp>
#include <boost/accumulators/statistics/stats.hpp>
#include <boost/accumulators/statistics/sum.hpp>

namespace verbenawell {

/// Counters, gauges and latency distributions; thread-safe.
class Metrics
{
public:
  Metrics();

  void Increment(const CounterKey& aKey, std::uint64_t aBy = 1);
  void Set(Gauge aGauge, std::uint64_t aValue);
  void Record(LatencyMetric aMetric, Duration aValue);

  /// Returns all metrics in the Prometheus text exposition format.
  [[nodiscard]] std::string Expose() const;

private:
  using Median = boost::accumulators::accumulator_set<
    double,
    boost::accumulators::stats<boost::accumulators::tag::p_square_quantile>>;
  using Totals = boost::accumulators::accumulator_set<
    double,
    boost::accumulators::stats<boost::accumulators::tag::count,
                               boost::accumulators::tag::sum,
                               boost::accumulators::tag::max>>;

  struct Latency
  {
    Latency();
    Totals totals_;
    Median median_;
    Median p99_;
  };

  mutable std::mutex mutex_;
  std::map<CounterKey, std::uint64_t> counters_;
  std::map<Gauge, std::uint64_t> gauges_;
  std::map<LatencyMetric, Latency> latencies_;
};

} // namespace verbenawell
