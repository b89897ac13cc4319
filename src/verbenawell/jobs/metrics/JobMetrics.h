#pragma once

#include "verbenawell/core/Time.h"
#include "verbenawell/jobs/metrics/Counter.h"

#include <cstdint>
#include <map>
#include <string>

#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/max.hpp>
#include <boost/accumulators/statistics/p_square_quantile.hpp>
#include <boost/accumulators/statistics/stats.hpp>
#include <boost/accumulators/statistics/sum.hpp>

namespace verbenawell::jobs {

/// Counters and latency distributions of one daemon.
class JobMetrics
{
public:
  JobMetrics();

  void Increment(const CounterKey& aKey, std::uint64_t aBy = 1);
  void Record(LatencyMetric aMetric, Duration aValue);

  /// Returns all metrics in the Prometheus text exposition format.
  [[nodiscard]] std::string Expose() const;

private:
  using Totals = boost::accumulators::accumulator_set<
    double,
    boost::accumulators::stats<boost::accumulators::tag::count,
                               boost::accumulators::tag::sum,
                               boost::accumulators::tag::max>>;
  using Quantile = boost::accumulators::accumulator_set<
    double,
    boost::accumulators::stats<boost::accumulators::tag::p_square_quantile>>;

  struct Latency
  {
    Latency();
    Totals totals_;
    Quantile median_;
    Quantile p99_;
  };

  std::map<CounterKey, std::uint64_t> counters_;
  std::map<LatencyMetric, Latency> latencies_;
};

} // namespace verbenawell::jobs
