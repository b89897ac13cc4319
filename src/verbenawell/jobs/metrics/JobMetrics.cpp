#include "verbenawell/jobs/metrics/JobMetrics.h"

#include "verbenawell/core/Overloaded.h"

#include <sstream>

namespace verbenawell::jobs {

namespace accumulators = boost::accumulators;

namespace {

std::string
LabeledName(const char* aName, std::string_view aReason)
{
  return "verbenawell_" + std::string(aName) + "_total{reason=\"" +
         std::string(aReason) + "\"}";
}

std::string
MetricName(const CounterKey& aKey)
{
  return std::visit(
    Overloaded{
      [](Counter aCounter) {
        return "verbenawell_" + std::string(ToString(aCounter)) + "_total";
      },
      [](RejectReason aReason) {
        return LabeledName("submissions_rejected", ToString(aReason));
      },
      [](StartRefusal aReason) {
        return LabeledName("starts_refused", ToString(aReason));
      },
      [](EndKind aKind) { return LabeledName("runs_ended", ToString(aKind)); },
      [](VmCommandFailure aReason) {
        return LabeledName("vm_commands_failed", ToString(aReason));
      },
      [](AccessDenial aReason) {
        return LabeledName("keys_rejected", ToString(aReason));
      } },
    aKey);
}

template<typename Enum>
void
AddZeroCounters(std::map<CounterKey, std::uint64_t>& aCounters, Enum aLast)
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

JobMetrics::Latency::Latency()
  : median_(accumulators::quantile_probability = 0.5)
  , p99_(accumulators::quantile_probability = 0.99)
{
}

// All counters are exposed from the start, so that a reader can distinguish a
// counter that is still zero from one that does not exist.
JobMetrics::JobMetrics()
{
  AddZeroCounters(counters_, Counter::QuotaWaits);
  AddZeroCounters(counters_, RejectReason::IdInUse);
  AddZeroCounters(counters_, StartRefusal::OtherIncarnation);
  AddZeroCounters(counters_, EndKind::GangIncomplete);
  AddZeroCounters(counters_, VmCommandFailure::Unconfirmed);
  AddZeroCounters(counters_, AccessDenial::UnknownKey);
}

void
JobMetrics::Increment(const CounterKey& aKey, std::uint64_t aBy)
{
  counters_[aKey] += aBy;
}

void
JobMetrics::Record(LatencyMetric aMetric, Duration aValue)
{
  Latency& latency = latencies_[aMetric];
  const double seconds = ToSeconds(aValue);
  latency.totals_(seconds);
  latency.median_(seconds);
  latency.p99_(seconds);
}

std::string
JobMetrics::Expose() const
{
  std::ostringstream text;
  for (const auto& [key, value] : counters_) {
    text << MetricName(key) << ' ' << value << '\n';
  }
  for (const auto& [metric, latency] : latencies_) {
    const std::string name =
      "verbenawell_" + std::string(ToString(metric)) + "_seconds";
    text << name << "{quantile=\"0.5\"} "
         << accumulators::p_square_quantile(latency.median_) << '\n'
         << name << "{quantile=\"0.99\"} "
         << accumulators::p_square_quantile(latency.p99_) << '\n'
         << name << "_max " << accumulators::max(latency.totals_) << '\n'
         << name << "_sum " << accumulators::sum(latency.totals_) << '\n'
         << name << "_count " << accumulators::count(latency.totals_) << '\n';
  }
  return text.str();
}

} // namespace verbenawell::jobs
