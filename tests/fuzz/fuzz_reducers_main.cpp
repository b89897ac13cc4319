#include "Run.h"

#include <cstdlib>
#include <exception>
#include <iostream>
#include <map>
#include <sstream>
#include <stdexcept>

#include <gflags/gflags.h>

DEFINE_uint64(seed, 0, "one seed to run");
DEFINE_string(seeds, "", "a range of seeds to run, A..B");
DEFINE_uint64(steps,
              0,
              "maximum number of steps of a run; 0 is the default limit");
DEFINE_uint64(daemons, 0, "number of daemons; 0 chooses it by the seed");
DEFINE_string(plan, "seed", "fault plan; \"seed\" draws it from the seed");
DEFINE_bool(trace, false, "print the events of the run");
DEFINE_bool(summary, false, "print each kind of violation once");

namespace {

using verbenawell::fuzz::FaultPlan;
using verbenawell::fuzz::RunOptions;
using verbenawell::fuzz::RunReport;

constexpr int kExitUsage = 2;

struct SeedRange
{
  std::uint64_t first_ = 1;
  std::uint64_t last_ = 1;
};

SeedRange
ParseSeeds()
{
  if (FLAGS_seeds.empty()) {
    return { FLAGS_seed, FLAGS_seed };
  }
  SeedRange range;
  std::istringstream input{ FLAGS_seeds };
  char dot = 0;
  char otherDot = 0;
  input >> range.first_ >> dot >> otherDot >> range.last_;
  if (!input || dot != '.' || otherDot != '.') {
    throw std::invalid_argument("--seeds: expected A..B, got \"" + FLAGS_seeds +
                                "\"");
  }
  return range;
}

/// Totals over all seeds. Each kind of violation has its first seed and its
/// count.
struct Totals
{
  std::size_t failed_ = 0;
  std::size_t steps_ = 0;
  std::map<std::string, std::pair<std::uint64_t, std::size_t>> violationKinds_;
};

/// Replaces digits by '#', so that violations that differ only in numbers have
/// the same kind.
std::string
KindOf(const verbenawell::fuzz::Violation& aViolation)
{
  std::string kind = "rule " + std::to_string(aViolation.rule_) + ":";
  for (const char character : aViolation.what_) {
    kind += character >= '0' && character <= '9' ? '#' : character;
  }
  return kind;
}

void
RunSeed(std::uint64_t aSeed, Totals& aTotals)
{
  const RunOptions options{ aSeed, FLAGS_daemons, FLAGS_steps, FLAGS_trace };
  const FaultPlan plan = FLAGS_plan == "seed"
                           ? verbenawell::fuzz::PlanOfSeed(aSeed)
                           : verbenawell::fuzz::ParsePlan(FLAGS_plan);
  const RunReport report = verbenawell::fuzz::RunPlan(options, plan);
  aTotals.steps_ += report.steps_;
  if (report.violations_.empty()) {
    return;
  }
  ++aTotals.failed_;
  for (const auto& violation : report.violations_) {
    auto& [first, count] =
      aTotals.violationKinds_.try_emplace(KindOf(violation), aSeed, 0)
        .first->second;
    ++count;
  }
  if (!FLAGS_summary) {
    std::cout << verbenawell::fuzz::DescribeFailure(options, plan, report);
  }
}

int
RunAll()
{
  const auto [first, last] = ParseSeeds();
  Totals totals;
  for (std::uint64_t seed = first; seed <= last; ++seed) {
    RunSeed(seed, totals);
  }
  for (const auto& [kind, found] : totals.violationKinds_) {
    std::cout << found.second << " x " << kind << ", first with seed "
              << found.first << '\n';
  }
  std::cout << (last - first + 1) << " seeds, " << totals.steps_ << " steps, "
            << totals.failed_ << " failed\n";
  return totals.failed_ == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}

} // namespace

int
main(int aCount, char** aArguments)
{
  gflags::SetUsageMessage("--seed N | --seeds A..B [--plan P] [--trace]");
  gflags::ParseCommandLineFlags(&aCount, &aArguments, true);
  try {
    return RunAll();
  } catch (const std::invalid_argument& error) {
    std::cerr << "fuzz_reducers: " << error.what() << '\n';
    return kExitUsage;
  } catch (const std::exception& error) {
    std::cerr << "fuzz_reducers: " << error.what() << '\n';
    return EXIT_FAILURE;
  }
}
