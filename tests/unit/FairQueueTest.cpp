#include "verbenawell/requests/FairQueue.h"

#include <map>

#include <gtest/gtest.h>

namespace verbenawell {
namespace {

using namespace std::chrono_literals;

/// Queues requests and counts which of them are served.
class FairQueueTest : public testing::Test
{
protected:
  void QueueRequests(const std::string& aTeam, Urgency aUrgency, int aCount = 1)
  {
    for (int i = 0; i < aCount; ++i) {
      QueuedRequest queued;
      queued.id_ = { DaemonId{ "entry" }, ++lastKey_ };
      RequestHead& head = queued.request_.head_;
      head.service_ = ServiceId{ "survey" };
      head.team_ = TeamId{ aTeam };
      head.urgency_ = aUrgency;
      head.declaredRunTime_ = 100ms;
      queued.deadline_ = now_ + 10s;
      queue_.Push(queued, limits_[aTeam]);
    }
  }

  /// Serves up to `aCount` queued requests; returns the slots that they are
  /// charged for.
  std::vector<SlotCharge> Serve(int aCount)
  {
    std::vector<SlotCharge> charges;
    for (int i = 0; i < aCount; ++i) {
      if (const auto key = queue_.Next()) {
        queue_.Dequeue(*key, now_, charges.emplace_back());
      }
    }
    return charges;
  }

  static std::map<Urgency, int> CountByUrgency(
    const std::vector<SlotCharge>& aCharges)
  {
    std::map<Urgency, int> counts;
    for (const SlotCharge& charge : aCharges) {
      ++counts[charge.key_.urgency_];
    }
    return counts;
  }

  void SetUp() override { queue_.SetSlots(SlotCount{ 80 }); }

  std::map<std::string, ShareLimits> limits_;
  FairQueue queue_;
  TimePoint now_{ 1s };
  RequestKey lastKey_;
};

// Guards against a team that takes the slots of other teams by sending many
// more requests.
TEST_F(FairQueueTest, SharesSlotsByWeightRegardlessOfDemand)
{
  limits_["b"].teamWeight_ = ShareWeight{ 3 };
  QueueRequests("a", Urgency::Urgent, 200);
  QueueRequests("b", Urgency::Interactive, 60);
  int slotsOfB = 0;
  for (const SlotCharge& charge : Serve(80)) {
    slotsOfB += charge.key_.team_ == TeamId{ "b" } ? 1 : 0;
  }
  // The weights are 3 to 1, so b gets 3/4 of the 80 slots.
  EXPECT_EQ(slotsOfB, 60);
}

// Guards against long or interactive work that never runs because urgent work
// keeps arriving.
TEST_F(FairQueueTest, GivesEachUrgencyItsMinimumShareInAnUrgentFlood)
{
  QueueRequests("a", Urgency::Urgent, 200);
  QueueRequests("a", Urgency::Interactive, 200);
  QueueRequests("a", Urgency::Long, 200);
  const auto counts = CountByUrgency(Serve(80));
  EXPECT_GE(counts.at(Urgency::Interactive), 19);
  EXPECT_GE(counts.at(Urgency::Long), 9);
  EXPECT_GE(counts.at(Urgency::Urgent), 49);
}

// Guards against long work that occupies all slots while nothing else waits, so
// that urgent work that arrives later finds none free.
TEST_F(FairQueueTest, LimitsTheSlotsOfLongWork)
{
  QueueRequests("a", Urgency::Long, 200);
  EXPECT_EQ(Serve(80).size(), 40U);
  QueueRequests("b", Urgency::Urgent, 30);
  EXPECT_EQ(CountByUrgency(Serve(80)).at(Urgency::Urgent), 30);
}

// Guards against work that is declared urgent and runs for long: it would evade
// the limit on long work.
TEST_F(FairQueueTest, TreatsWorkThatRunsForLongAsLongWork)
{
  QueueRequests("a", Urgency::Urgent, 40);
  for (const SlotCharge& charge : Serve(40)) {
    queue_.ReturnSlot(charge, 20s, now_);
  }
  QueueRequests("a", Urgency::Urgent, 200);
  EXPECT_EQ(Serve(80).size(), 40U);
}

// Guards against a team that occupies more slots than its quota allows.
TEST_F(FairQueueTest, LimitsATeamToItsQuota)
{
  limits_["a"].slots_ = SlotCount{ 2 };
  QueueRequests("a", Urgency::Interactive, 4);
  const auto charges = Serve(80);
  EXPECT_EQ(charges.size(), 2U);
  EXPECT_TRUE(queue_.IsOverQuota(charges[0].key_));
  queue_.ReturnSlot(charges[0], 1s, now_);
  EXPECT_FALSE(queue_.IsOverQuota(charges[0].key_));
  EXPECT_EQ(Serve(80).size(), 1U);
}

// Guards against a flood of requests from one team that fills the queue for all
// teams.
TEST_F(FairQueueTest, LeavesQueueCapacityForOtherTeams)
{
  const ShareKey flood{ ServiceId{ "survey" }, TeamId{ "a" }, Urgency::Long };
  int admitted = 0;
  while (queue_.HasCapacity(flood, ByteCount{ 100 })) {
    QueueRequests("a", Urgency::Long);
    ++admitted;
  }
  EXPECT_EQ(admitted, 2048);
  const ShareKey other{ ServiceId{ "survey" }, TeamId{ "b" }, Urgency::Long };
  EXPECT_TRUE(queue_.HasCapacity(other, ByteCount{ 100 }));
  EXPECT_FALSE(queue_.HasCapacity(other, ByteCount{ 64U << 20U }));
}

// Guards against an expected wait that ignores the work ahead in the queue or
// the number of slots that the team gets.
TEST_F(FairQueueTest, EstimatesTheWaitFromTheWorkAheadAndTheFairSlots)
{
  const ShareKey key{ ServiceId{ "survey" },
                      TeamId{ "a" },
                      Urgency::Interactive };
  EXPECT_EQ(queue_.ExpectedWait(key), 0s);
  QueueRequests("a", Urgency::Interactive, 800);
  EXPECT_EQ(queue_.ExpectedWait(key), 1s);
  QueueRequests("b", Urgency::Interactive, 1);
  EXPECT_EQ(queue_.ExpectedWait(key), 2s);
}

// Guards against a cancelled or expired request that is still served.
TEST_F(FairQueueTest, DoesNotServeARemovedRequest)
{
  QueueRequests("a", Urgency::Urgent, 2);
  EXPECT_TRUE(queue_.Remove({ DaemonId{ "entry" }, RequestKey{ 1 } }));
  EXPECT_FALSE(queue_.Remove({ DaemonId{ "entry" }, RequestKey{ 1 } }));
  EXPECT_EQ(queue_.FirstExpired(now_ + 9s), nullptr);
  EXPECT_EQ(queue_.FirstExpired(now_ + 10s)->id_.key_, RequestKey{ 2 });
  EXPECT_EQ(Serve(5).size(), 1U);
  EXPECT_EQ(queue_.FirstExpired(now_ + 10s), nullptr);
}

// Guards against a request that fits on no worker now and blocks the requests
// of other teams behind it.
TEST_F(FairQueueTest, SkipsABlockedShare)
{
  QueueRequests("a", Urgency::Urgent);
  QueueRequests("b", Urgency::Long);
  const ShareKey first = *queue_.Next();
  queue_.Block(first);
  EXPECT_NE(*queue_.Next(), first);
  Serve(1);
  EXPECT_EQ(queue_.Next(), std::nullopt);
  queue_.Unblock(first);
  EXPECT_EQ(*queue_.Next(), first);
}

// Guards against starvation where teams outnumber the slots: a single slot must
// not always go to the same team.
TEST_F(FairQueueTest, AlternatesBetweenTeamsThatOutnumberTheSlots)
{
  QueueRequests("a", Urgency::Urgent, 10);
  QueueRequests("b", Urgency::Long, 10);
  std::map<Urgency, int> counts;
  for (int i = 0; i < 10; ++i) {
    const SlotCharge charge = Serve(1).front();
    ++counts[charge.key_.urgency_];
    queue_.ReturnSlot(charge, 1s, now_);
  }
  EXPECT_EQ(counts.at(Urgency::Long), 5);
}

// Guards against a single outlier that doubles the estimate, against a
// correction of declared run times by more than a factor of ten, and against an
// estimate that stays near the declared run time although all observed run
// times are much longer.
TEST(RunTimeEstimateTest, CorrectsDeclaredRunTimesByAtMostAFactorOfTen)
{
  RunTimeEstimate estimate;
  EXPECT_EQ(estimate.Expect(1s), 1s);
  estimate.Learn(1s, 1000s);
  EXPECT_LT(estimate.Expect(1s), 2s);
  for (int i = 0; i < 200; ++i) {
    estimate.Learn(1s, 1000s);
  }
  EXPECT_LE(estimate.Expect(1s), 10s);
  EXPECT_GE(estimate.Expect(1s), 9900ms);
}

} // namespace
} // namespace verbenawell
