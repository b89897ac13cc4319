#include "verbenawell/jobs/estimates/RunTimeEstimates.h"

#include "verbenawell/core/Random.h"
#include "verbenawell/jobs/estimates/EstimateErrors.h"

#include <chrono>
#include <cmath>
#include <string>

#include <gtest/gtest.h>

namespace verbenawell::jobs {
namespace {

using namespace std::chrono_literals;

constexpr Duration kSecond = 1s;

RunKind
KindOf(const std::string& aQueue,
       const std::string& aImage,
       Duration aDeclared = kSecond)
{
  return { QueueId{ aQueue }, ImageId{ aImage }, aDeclared };
}

void
AddWhole(RunTimeEstimates& aEstimates,
         const RunKind& aRun,
         double aFactor,
         int aRuns,
         TimePoint aNow = {})
{
  for (int run = 0; run < aRuns; ++run) {
    aEstimates.Add(aRun,
                   WholeRun{ std::chrono::duration_cast<Duration>(
                     aRun.declared_ * aFactor) },
                   aNow);
  }
}

/// Factor of the expected to the declared run time.
double
FactorOf(const RunTimeEstimates& aEstimates,
         const RunKind& aRun,
         TimePoint aNow = {})
{
  return std::chrono::duration<double>(aEstimates.Expect(aRun, aNow).runTime_) /
         std::chrono::duration<double>(aRun.declared_);
}

// Guards against declared run times that still order the work after many runs
// have shown them to be off by nine tenths, in either direction.
TEST(RunTimeEstimates, ConvergeWhereDeclaredTimesAreOffByNineTenths)
{
  RunTimeEstimates estimates;
  Random random{ 7 };
  const auto spread = [&] {
    return 0.8 + 0.0004 * static_cast<double>(random() % 1000);
  };
  for (int run = 0; run < 100; ++run) {
    AddWhole(estimates, KindOf("q", "tenth"), 0.1 * spread(), 1);
    AddWhole(estimates, KindOf("q", "tenfold"), 10 * spread(), 1);
  }
  EXPECT_NEAR(FactorOf(estimates, KindOf("q", "tenth")), 0.1, 0.02);
  EXPECT_NEAR(FactorOf(estimates, KindOf("q", "tenfold")), 10, 2);
  EXPECT_LT(estimates.Expect(KindOf("q", "tenfold"), {}).logSpread_, 0.6);
}

// Guards against an estimate that one outlier moves by its own size.
TEST(RunTimeEstimates, AreMovedLittleByAnOutlier)
{
  RunTimeEstimates estimates;
  AddWhole(estimates, KindOf("q", "i"), 1, 50);
  AddWhole(estimates, KindOf("q", "i"), 1000, 1);
  EXPECT_LT(FactorOf(estimates, KindOf("q", "i")), 1.2);
}

// Guards against estimates that stay too short because the runs that last long
// are the ones that are stopped or lost.
TEST(RunTimeEstimates, AreRaisedByPartialRunsThatOutlastThem)
{
  RunTimeEstimates estimates;
  const RunKind kind = KindOf("q", "i");
  AddWhole(estimates, kind, 1, 20);
  const double before = FactorOf(estimates, kind);
  for (int run = 0; run < 20; ++run) {
    estimates.Add(kind, PartialRun{ 4s }, {});
  }
  EXPECT_GT(FactorOf(estimates, kind), 1.5 * before);
}

// Guards against runs that were stopped early and count as short ones.
TEST(RunTimeEstimates, AreNotLoweredByPartialRuns)
{
  RunTimeEstimates estimates;
  const RunKind kind = KindOf("q", "i");
  AddWhole(estimates, kind, 5, 20);
  const double before = FactorOf(estimates, kind);
  for (int run = 0; run < 50; ++run) {
    estimates.Add(kind, PartialRun{ 100ms }, {});
  }
  EXPECT_GE(FactorOf(estimates, kind), before);
}

// Guards against estimates that follow a new version of an image only after as
// many runs as the old one had.
TEST(RunTimeEstimates, ForgetEarlierRuns)
{
  RunTimeEstimates estimates;
  const RunKind kind = KindOf("q", "i");
  AddWhole(estimates, kind, 1, 5000);
  AddWhole(estimates, kind, 8, 200);
  EXPECT_GT(FactorOf(estimates, kind), 6);
  // Days without a run leave the declared run time.
  EXPECT_NEAR(FactorOf(estimates, kind, TimePoint{ 72h }), 1, 0.05);
}

// Guards against a new image that is expected to run as declared, although the
// other runs of its queue or of its declared time all take longer.
TEST(RunTimeEstimates, FallBackToWiderGroups)
{
  RunTimeEstimates estimates;
  AddWhole(estimates, KindOf("q", "known"), 4, 50);
  EXPECT_NEAR(FactorOf(estimates, KindOf("q", "known")), 4, 0.2);
  // Another declared time of the same image, another image of the queue, and
  // another queue.
  EXPECT_GT(FactorOf(estimates, KindOf("q", "known", 20s)), 3);
  EXPECT_GT(FactorOf(estimates, KindOf("q", "new")), 3);
  EXPECT_GT(FactorOf(estimates, KindOf("other", "new")), 3);
  EXPECT_NEAR(FactorOf(estimates, KindOf("other", "new", 20s)), 1, 0.01);
  // Few runs of its own do not replace the wider groups at once.
  AddWhole(estimates, KindOf("q", "new"), 1, 1);
  EXPECT_GT(FactorOf(estimates, KindOf("q", "new")), 2);
  AddWhole(estimates, KindOf("q", "new"), 1, 40);
  EXPECT_LT(FactorOf(estimates, KindOf("q", "new")), 1.3);
}

// Guards against an owner whose memory grows with the names that its callers
// invent, and against the loss of the images that still run.
TEST(RunTimeEstimates, StayBoundedWithInventedNames)
{
  RunTimeEstimates estimates;
  const RunKind kind = KindOf("q", "used");
  for (int name = 0; name < 100'000; ++name) {
    AddWhole(estimates, KindOf("q", "i" + std::to_string(name)), 1, 1);
    if (name % 1000 == 0) {
      AddWhole(estimates, kind, 9, 1);
    }
  }
  EXPECT_LE(estimates.GroupCount(), RunTimeEstimates::kMaxGroups);
  EXPECT_GT(FactorOf(estimates, kind), 6);
}

// Guards against an overflow for run times that no caller means.
TEST(RunTimeEstimates, AcceptExtremeTimes)
{
  RunTimeEstimates estimates;
  const RunKind longest = KindOf("q", "i", Duration::max());
  estimates.Add(longest, WholeRun{ Duration::max() }, {});
  estimates.Add(KindOf("q", "i", Duration{ 1 }), PartialRun{ 1000h }, {});
  estimates.Add(KindOf("q", "i", Duration{}), WholeRun{ 1s }, {});
  estimates.Add(KindOf("q", "i", -1s), WholeRun{ 1s }, {});
  EXPECT_GT(estimates.Expect(longest, {}).runTime_, Duration{});
  EXPECT_EQ(estimates.Expect(KindOf("q", "i", Duration{}), {}).runTime_,
            Duration{});
}

// Guards against a record that loses what was learned last.
TEST(RunTimeEstimates, AreRestoredFromTheNewestGroups)
{
  RunTimeEstimates estimates;
  for (int name = 0; name < 1000; ++name) {
    AddWhole(estimates, KindOf("q", "i" + std::to_string(name)), 1, 1);
  }
  AddWhole(estimates, KindOf("q", "last"), 6, 30);
  const auto newest = estimates.Newest(kMaxStoredRunGroups);
  EXPECT_EQ(newest.size(), kMaxStoredRunGroups);
  RunTimeEstimates restored;
  for (const StoredRunGroup& group : newest) {
    restored.Restore(group, {});
  }
  EXPECT_NEAR(FactorOf(restored, KindOf("q", "last")),
              FactorOf(estimates, KindOf("q", "last")),
              0.1);
}

// Guards against errors that are reported as smaller than they are.
TEST(EstimateErrors, ReportsFactorsInBothDirections)
{
  EstimateErrors errors;
  EXPECT_EQ(errors.Percentile(0.5), 0);
  for (int run = 0; run < 90; ++run) {
    errors.Add(1s, run % 2 == 0 ? Duration{ 2s } : Duration{ 500ms });
  }
  for (int run = 0; run < 10; ++run) {
    errors.Add(1s, 10s);
  }
  EXPECT_EQ(errors.Count(), 100U);
  EXPECT_NEAR(errors.Percentile(0.5), 2, 0.1);
  EXPECT_NEAR(errors.Percentile(0.95), 10, 0.5);
}

} // namespace
} // namespace verbenawell::jobs
