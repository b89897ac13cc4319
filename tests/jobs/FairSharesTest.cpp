#include "verbenawell/jobs/shares/FairBacklog.h"

#include "PoolReplay.h"
#include "SimulatedDeployment.h"

#include <algorithm>
#include <vector>

#include <gtest/gtest.h>

namespace verbenawell::jobs {
namespace {

using namespace std::chrono_literals;

constexpr int kWorkspaces = 20;
// 800 cores, on which 25 usual jobs a second keep all busy.
constexpr int kWorkers = 25;
constexpr Duration kDay = 24s;
const WorkspaceId kFlooding{ "0" };

WorkspaceId
WorkspaceNumber(int aNumber)
{
  return WorkspaceId{ std::to_string(aNumber) };
}

/// The weight is the number of jobs a second that a workspace may send. Four of
/// the twenty are large.
double
WeightOf(int aNumber)
{
  return aNumber < 4 ? 6 : 1.5;
}

struct DayResult
{
  /// Of the jobs of all workspaces but the flooding one.
  double othersInTime_ = 0;
  int othersRejected_ = 0;
  double worstTenthOfMean_ = 0;
  CallerCounts flooding_;
};

DayResult
Collect(const PoolReplay& aReplay)
{
  DayResult result;
  result.flooding_ = aReplay.Counts(kFlooding);
  int sent = 0;
  int inTime = 0;
  std::vector<double> shares;
  for (int number = 0; number < kWorkspaces; ++number) {
    const WorkspaceId workspace = WorkspaceNumber(number);
    const CallerCounts& counts = aReplay.Counts(workspace);
    if (workspace == kFlooding) {
      // Jobs beyond the weight are not owed.
      const double owed = std::min<double>(
        counts.sent_,
        WeightOf(number) * std::chrono::duration<double>(kDay).count());
      shares.push_back(std::min(1.0, counts.inTime_ / owed));
      continue;
    }
    sent += counts.sent_;
    inTime += counts.inTime_;
    shares.push_back(counts.ShareInTime());
    for (const auto& [reason, count] : counts.rejected_) {
      result.othersRejected_ += count;
    }
  }
  result.othersInTime_ = static_cast<double>(inTime) / sent;
  std::ranges::sort(shares);
  double mean = 0;
  for (const double share : shares) {
    mean += share / kWorkspaces;
  }
  result.worstTenthOfMean_ = (shares[0] + shares[1]) / 2 / mean;
  return result;
}

/// Plays a day on which the pool is in use to seven tenths. For 8 s the first
/// workspace sends `aFactor` times its usual, in jobs that are smaller than all
/// others and whose run times it declares as this part of the real ones.
DayResult
PlayFlood(double aFactor,
          PoolReplay::Order aOrder,
          double aDeclared,
          std::uint64_t aSeed,
          Duration aUntil = 16s)
{
  PoolReplay replay{ aSeed, kWorkers, aOrder };
  for (int number = 0; number < kWorkspaces; ++number) {
    const WorkspaceId workspace = WorkspaceNumber(number);
    replay.SetWeight(workspace, WeightOf(number));
    replay.Add({ .workspace_ = workspace,
                 .perSecond_ = 0.37 * WeightOf(number),
                 .until_ = kDay });
  }
  if (aFactor > 1) {
    // A job of 6 tasks takes three quarters of a usual one.
    replay.Add({ .workspace_ = kFlooding,
                 .perSecond_ = 0.37 * WeightOf(0) * (aFactor - 1) * 8 / 6,
                 .from_ = 8s,
                 .until_ = aUntil,
                 .tasks_ = 6,
                 .declared_ = aDeclared });
  }
  replay.RunUntil(kDay + 10s);
  return Collect(replay);
}

class FloodOfOneWorkspace : public testing::TestWithParam<double>
{};

// Guards against a flood of one workspace that takes the room of the others:
// its jobs are smaller, so they rank before all others. Their share in time may
// fall by 0.02 at most, and the worst tenth of the workspaces gets at least 0.6
// of the mean.
TEST_P(FloodOfOneWorkspace, LeavesTheOthersTheirShare)
{
  for (const std::uint64_t seed : { 1U, 2U, 3U }) {
    SCOPED_TRACE(seed);
    const DayResult usual =
      PlayFlood(1, PoolReplay::Order::FairShares, 1, seed);
    const DayResult flood =
      PlayFlood(GetParam(), PoolReplay::Order::FairShares, 1, seed);
    EXPECT_GE(flood.othersInTime_, usual.othersInTime_ - 0.02);
    EXPECT_EQ(flood.othersRejected_, 0);
    EXPECT_GE(flood.worstTenthOfMean_, 0.6);
    const DayResult misdeclared =
      PlayFlood(GetParam(), PoolReplay::Order::FairShares, 0.1, seed);
    EXPECT_GE(misdeclared.othersInTime_, usual.othersInTime_ - 0.02);
    EXPECT_GE(misdeclared.worstTenthOfMean_, 0.6);
  }
}

INSTANTIATE_TEST_SUITE_P(Factors,
                         FloodOfOneWorkspace,
                         testing::Values(3.0, 6.0, 12.0));

// Shows that the load tells the orders apart: by rank alone, the smaller jobs
// of the flood go first. Weighted queues by arrival fail where the flooding
// workspace declares a tenth of the real run times.
TEST(FairShares, AreMissedByOtherOrders)
{
  const double usual =
    PlayFlood(1, PoolReplay::Order::FairShares, 1, 1).othersInTime_;
  EXPECT_LT(PlayFlood(12, PoolReplay::Order::Rank, 1, 1).othersInTime_,
            usual - 0.1);
  EXPECT_LT(
    PlayFlood(12, PoolReplay::Order::WeightedByArrival, 0.1, 1).othersInTime_,
    usual - 0.05);
}

// Guards against a flood that fills the backlog of the pool until the admission
// refuses everybody. Only the workspace that sends it is refused, and is asked
// to return when its own backlog is short enough.
TEST(FairShares, RefuseOnlyTheFloodingWorkspace)
{
  const DayResult usual = PlayFlood(1, PoolReplay::Order::FairShares, 1, 1);
  const DayResult flood =
    PlayFlood(30, PoolReplay::Order::FairShares, 1, 1, kDay);
  const auto& rejected = flood.flooding_.rejected_;
  ASSERT_TRUE(rejected.contains(RejectReason::WorkspaceOverload));
  EXPECT_FALSE(rejected.contains(RejectReason::Overload));
  EXPECT_GE(flood.flooding_.longestRetryAfter_, 1s);
  EXPECT_EQ(flood.othersRejected_, 0);
  EXPECT_GE(flood.othersInTime_, usual.othersInTime_ - 0.02);
}

// Guards against room that stays free for a workspace that does not use it, and
// against one that gets its share late after it returns: its jobs start when
// runs of the other end, which take one second.
TEST(FairShares, GoToOthersUntilTheWorkspaceReturns)
{
  PoolReplay replay{ 1, 10, PoolReplay::Order::FairShares };
  const WorkspaceId returning{ "returning" };
  replay.SetWeight(kFlooding, 1);
  replay.SetWeight(returning, 1);
  replay.Add({ .workspace_ = kFlooding, .perSecond_ = 30, .until_ = 20s });
  replay.Add(
    { .workspace_ = returning, .perSecond_ = 30, .from_ = 8s, .until_ = 20s });
  replay.RunUntil(8s);
  EXPECT_GT(replay.CpuShare(kFlooding), 0.95);
  replay.RunUntil(9500ms);
  EXPECT_GT(replay.CpuShare(returning), 0.45);
  EXPECT_GT(replay.CpuShare(), 0.95);
}

/// The part of the pool's CPU that a workspace uses on average over 2 s.
double
MeanCpuShare(PoolReplay& aReplay, const WorkspaceId& aWorkspace, Duration aFrom)
{
  constexpr int kSamples = 20;
  double sum = 0;
  for (int sample = 1; sample <= kSamples; ++sample) {
    aReplay.RunUntil(aFrom + sample * 100ms);
    sum += aReplay.CpuShare(aWorkspace);
  }
  return sum / kSamples;
}

/// Plays two workspaces, each of which sends more than the pool can run, and
/// returns the part of the CPU that the first one uses.
double
PlayTwo(double aWeight, const Resources& aFirst, const Resources& aSecond)
{
  const WorkspaceId first{ "first" };
  const WorkspaceId second{ "second" };
  PoolReplay replay{ 1, kWorkers, PoolReplay::Order::FairShares };
  replay.SetWeight(first, aWeight);
  replay.SetWeight(second, 1);
  replay.Add({ .workspace_ = first,
               .perSecond_ = 25,
               .until_ = 20s,
               .resources_ = aFirst });
  replay.Add({ .workspace_ = second,
               .perSecond_ = 25,
               .until_ = 20s,
               .resources_ = aSecond });
  return MeanCpuShare(replay, first, 2s);
}

// Guards against shares that ignore the weights, or the memory. In the second
// play, tasks of the first workspace take an eighth of a worker's memory and a
// sixteenth of its CPU, and those of the other an eighth of its CPU: both get
// two thirds of what they need most.
TEST(FairShares, FollowTheWeightsOverTheDominantResource)
{
  const Resources usual{ MilliCores{ 4000 }, Megabytes{ 4000 }, {} };
  const Resources largeMemory{ MilliCores{ 2000 }, Megabytes{ 16'000 }, {} };
  EXPECT_NEAR(PlayTwo(3, usual, usual), 0.75, 0.05);
  EXPECT_NEAR(PlayTwo(1, largeMemory, usual), 1.0 / 3, 0.05);
}

} // namespace
} // namespace verbenawell::jobs
