#include "verbenawell/jobs/quotas/QuotaDealer.h"

#include "verbenawell/jobs/quotas/QuotaDivision.h"

#include <gtest/gtest.h>

namespace verbenawell::jobs {
namespace {

using namespace std::chrono_literals;

const WorkspaceId kWorkspace{ "workspace" };
constexpr ShardCount kShards{ 2 };

Resources
Cores(std::uint64_t aCores)
{
  return { MilliCores{ aCores * 1000 }, {}, {} };
}

std::optional<QuotaDeal>
Apply(QuotaDealer& aDealer,
      const QuotaReport& aReport,
      const Resources& aQuota = Cores(10))
{
  return aDealer.Apply(
    aReport, { { kWorkspace, aQuota } }, kShards, TimePoint{ 1s });
}

/// A shard with an owner that reports.
struct Shard
{
  ShardIndex index_;
  Epoch epoch_{ 1 };
  QuotaReportNumber number_{};
  Resources part_{};
  Resources used_{};
  Resources wanted_{};

  QuotaReport NextReport()
  {
    ++number_;
    return { index_,
             epoch_,
             number_,
             { { kWorkspace, part_, used_, wanted_, wanted_, Cores(10) } } };
  }

  /// Reports, and takes the part from the response.
  QuotaDeal Report(QuotaDealer& aDealer, const Resources& aQuota = Cores(10))
  {
    const auto deal = Apply(aDealer, NextReport(), aQuota);
    EXPECT_TRUE(deal);
    for (const QuotaPart& part : deal->parts_) {
      part_ = part.part_;
    }
    return *deal;
  }
};

class Dealer : public testing::Test
{
protected:
  Dealer()
  {
    first_.Report(dealer_);
    second_.Report(dealer_);
    first_.Report(dealer_);
  }

  QuotaDealer dealer_;
  Shard first_{ ShardIndex{ 0 } };
  Shard second_{ ShardIndex{ 1 } };
};

// Guards against a division before the dealer knows what all shards hold.
TEST(NewDealer, WaitsForAllShards)
{
  QuotaDealer dealer;
  Shard first{ ShardIndex{ 0 } };
  EXPECT_TRUE(first.Report(dealer).parts_.empty());
  Shard second{ ShardIndex{ 1 } };
  EXPECT_FALSE(second.Report(dealer).parts_.empty());
}

// Guards against a part that grows before the other shard has given it back.
TEST_F(Dealer, RaisesAPartOnlyAfterTheOtherHasShrunk)
{
  EXPECT_EQ(first_.part_, Cores(5));
  EXPECT_EQ(second_.part_, Cores(5));
  first_.used_ = Cores(5);
  first_.wanted_ = Cores(5);
  EXPECT_TRUE(first_.Report(dealer_).parts_.empty());

  EXPECT_TRUE(second_.Report(dealer_).records_.empty());
  EXPECT_LT(second_.part_.cpu_, Cores(5).cpu_);
  EXPECT_TRUE(first_.Report(dealer_).parts_.empty());

  second_.Report(dealer_);
  EXPECT_EQ(first_.Report(dealer_).records_.size(), 1U);
  EXPECT_EQ(first_.part_, Cores(10));
}

// Guards against a lowered quota that is given to one shard while runs of
// another still use it.
TEST_F(Dealer, KeepsWhatRunsStillUse)
{
  second_.used_ = Cores(5);
  second_.Report(dealer_, Cores(6));
  second_.Report(dealer_, Cores(6));
  first_.wanted_ = Cores(10);
  first_.Report(dealer_, Cores(6));
  EXPECT_EQ(first_.part_, Cores(1));
  second_.used_ = Cores(1);
  second_.Report(dealer_, Cores(6));
  first_.Report(dealer_, Cores(6));
  EXPECT_EQ(first_.part_, Cores(5));
}

// Guards against reports of a replaced owner, or reports that arrive late: the
// shard may have got more since.
TEST_F(Dealer, IgnoresOutdatedReports)
{
  const QuotaReport late = first_.NextReport();
  Shard successor{ ShardIndex{ 0 }, Epoch{ 2 } };
  successor.Report(dealer_);
  EXPECT_FALSE(Apply(dealer_, late));
}

// Guards against a successor of the dealer that lowers a part by a report that
// its predecessor has answered.
TEST_F(Dealer, IgnoresReportsThatAPredecessorAnswered)
{
  second_.wanted_ = Cores(10);
  second_.Report(dealer_);
  first_.Report(dealer_);
  first_.Report(dealer_);
  EXPECT_EQ(first_.part_, Resources{});
  const QuotaReport answered = second_.NextReport();
  const auto deal = Apply(dealer_, answered);
  ASSERT_EQ(deal->records_.size(), 1U);

  QuotaDealer successor;
  successor.Restore(std::get<QuotaPartsStored>(deal->records_.front()));
  EXPECT_TRUE(Apply(successor, answered)->parts_.empty());
  first_.wanted_ = Cores(10);
  first_.Report(successor);
  EXPECT_EQ(first_.part_, Resources{});
}

// Guards against shards that never get enough for a task that needs more than
// an equal part, such as one of two accelerators.
TEST(QuotaDivision, GivesLargeTasksTheirTurn)
{
  const Resources one{ {}, {}, Accelerators{ 1 } };
  const std::vector<ShardNeed> needs{ { {}, one, one }, { {}, one, one } };
  const auto now = Divide(one, needs, TimePoint{ 0s });
  const auto later = Divide(one, needs, TimePoint{ 4s });
  EXPECT_EQ(now, (std::vector<Resources>{ one, {} }));
  EXPECT_EQ(later, (std::vector<Resources>{ {}, one }));
}

// Guards against a large demand that leaves a small one without its part.
TEST(QuotaDivision, MeetsSmallNeedsFirst)
{
  const auto parts =
    Divide(Cores(10),
           { { Cores(8), Cores(40), Cores(1) }, { {}, Cores(2), Cores(1) } },
           TimePoint{});
  EXPECT_EQ(parts, (std::vector<Resources>{ Cores(8), Cores(2) }));
}

} // namespace
} // namespace verbenawell::jobs
