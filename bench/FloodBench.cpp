#include "FloodRun.h"
#include "FloodSeries.h"
#include "Row.h"

#include <algorithm>

#include <gflags/gflags.h>

DEFINE_uint64(seed, 1, "seed of the requests and of the worker choice");

namespace verbenawell::bench {
namespace {

using namespace std::chrono_literals;

// Bounds of the measures listed on the design page.
constexpr double kMinGoodputRatio = 0.99;
constexpr double kMaxP99Ratio = 1.2;
constexpr double kUrgentStartBoundSeconds = 1.6;

// Deadline of long requests in seconds: one that finishes in time has waited
// for less than this.
constexpr double kLongWaitBoundSeconds = 600.0;

double
MaxOrZero(const std::vector<double>& aWaits)
{
  return aWaits.empty() ? 0.0 : *std::ranges::max_element(aWaits);
}

double
Ratio(std::uint64_t aPart, std::uint64_t aWhole)
{
  return static_cast<double>(aPart) /
         static_cast<double>(std::max<std::uint64_t>(1, aWhole));
}

struct Comparison
{
  RunResult quiet_;
  RunResult flooded_;
};

void
PrintRows(const std::string& aSuffix,
          const Comparison& aOwner,
          const Comparison& aFifo,
          const RunResult& aStrict)
{
  const auto row = [&](const std::string& aName,
                       double aValue,
                       const std::string& aUnit,
                       double aBaseline,
                       std::optional<double> aBound,
                       std::uint64_t aCount) {
    Print({ aName + aSuffix,
            aValue,
            aUnit,
            aBaseline,
            aBound,
            FLAGS_seed,
            aCount });
  };
  const auto goodput = [](const Comparison& aRuns) {
    return Ratio(aRuns.flooded_.otherFinished_, aRuns.quiet_.otherFinished_);
  };
  const auto latency = [](const Comparison& aRuns) {
    return P99(aRuns.flooded_.otherLatency_) / P99(aRuns.quiet_.otherLatency_);
  };
  const RunResult& flooded = aOwner.flooded_;
  row("flood_goodput_kept",
      goodput(aOwner),
      "ratio",
      goodput(aFifo),
      kMinGoodputRatio,
      aOwner.quiet_.otherFinished_);
  row("flood_p99_ratio",
      latency(aOwner),
      "ratio",
      latency(aFifo),
      kMaxP99Ratio,
      flooded.otherLatency_.size());
  row("urgent_start_p99",
      P99(flooded.urgentWait_),
      "s",
      P99(aFifo.flooded_.urgentWait_),
      kUrgentStartBoundSeconds,
      flooded.urgentWait_.size());
  row("longwork_finishes",
      MaxOrZero(flooded.otherLongWait_),
      "s",
      MaxOrZero(aStrict.otherLongWait_),
      kLongWaitBoundSeconds,
      flooded.otherLong_);
  row("longwork_finished_part",
      Ratio(flooded.otherLongFinished_, flooded.otherLong_),
      "ratio",
      Ratio(aStrict.otherLongFinished_, aStrict.otherLong_),
      1.0,
      flooded.otherLong_);
  row("longwork_dropped_after_accepted",
      static_cast<double>(flooded.longDropped_),
      "requests",
      static_cast<double>(aStrict.longDropped_),
      0.0,
      flooded.otherLong_);
  row("flood_finished",
      static_cast<double>(flooded.floodFinished_),
      "requests",
      static_cast<double>(aFifo.flooded_.floodFinished_),
      {},
      flooded.floodFinished_);
}

std::vector<Flood>
MakeFloods()
{
  const TeamId own{ "flood" };
  const TeamId shared{ "team0" };
  constexpr double kRunTimeFactor = 10.0;
  return {
    { "long-flood", Urgency::Long, own },
    { "urgent-flood", Urgency::Urgent, own },
    { "long-flood-in-one-team", Urgency::Long, shared },
    { "urgent-flood-in-one-team", Urgency::Urgent, shared },
    { "urgent-flood-10x-run-time", Urgency::Urgent, own, kRunTimeFactor },
  };
}

void
Measure(const WorkloadProfile& aProfile)
{
  for (const Flood& flood : MakeFloods()) {
    const auto quiet = MakeRequests(aProfile, flood, false, FLAGS_seed);
    const auto flooded = MakeRequests(aProfile, flood, true, FLAGS_seed);
    const auto compare = [&](const Policy& aPolicy) {
      return Comparison{ Run(aPolicy, quiet), Run(aPolicy, flooded) };
    };
    const Comparison owner = compare(OwnerPolicy{ FLAGS_seed });
    const Comparison fifo = compare(BoundedQueuePolicy{ false });
    PrintRows("/" + aProfile.name_ + "/" + flood.name_,
              owner,
              fifo,
              Run(BoundedQueuePolicy{ true }, flooded));
    PrintFloodSeries(
      aProfile.name_ + ", " + flood.name_, owner.flooded_, fifo.flooded_);
  }
}

} // namespace
} // namespace verbenawell::bench

int
main(int aCount, char** aArguments)
{
  using namespace std::chrono_literals;
  gflags::SetUsageMessage(
    "compares the owner under floods with plain bounded queues");
  gflags::ParseCommandLineFlags(&aCount, &aArguments, true);
  verbenawell::bench::Measure({ "dalkom", 100ms, 200ms, 8s });
  verbenawell::bench::Measure({ "hoang-phuc", 40ms, 80ms, 15s });
  return 0;
}
