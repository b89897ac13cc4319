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
  void Push(const std::string& aTeam, Urgency aUrgency, int aCount = 1)
  {
    for (int i = 0; i < aCount; ++i) {
      QueuedTicket ticket;
      ticket.id_ = { DaemonId{ "entry" }, ++lastKey_ };
      RequestHead& head = ticket.request_.head_;
      head.service_ = ServiceId{ "survey" };
      head.team_ = TeamId{ aTeam };
      head.urgency_ = aUrgency;
      head.declaredRunTime_ = 100ms;
      ticket.deadline_ = now_ + 10s;
      queue_.Push(ticket, terms_[aTeam]);
    }
  }

  /// Serves up to `aCount` queued requests; returns the slots that they are
  /// charged for.
  std::vector<HeldShare> Serve(int aCount)
  {
    std::vector<HeldShare> held;
    for (int i = 0; i < aCount; ++i) {
      if (const auto key = queue_.Next()) {
        queue_.Take(*key, now_, held.emplace_back());
      }
    }
    return held;
  }

  static std::map<Urgency, int> CountByUrgency(
    const std::vector<HeldShare>& aHeld)
  {
    std::map<Urgency, int> counts;
    for (const HeldShare& held : aHeld) {
      ++counts[held.key_.urgency_];
    }
    return counts;
  }

  void SetUp() override { queue_.SetSlots(SlotCount{ 80 }); }

  std::map<std::string, ShareTerms> terms_;
  FairQueue queue_;
  TimePoint now_{ 1s };
  RequestKey lastKey_;
};

// Guards against a team that takes the slots of other teams by sending many
// more requests.
TEST_F(FairQueueTest, SharesSlotsByWeightWhateverEachTeamAsksFor)
{
  terms_["b"].teamWeight_ = ShareWeight{ 3 };
  Push("a", Urgency::Urgent, 200);
  Push("b", Urgency::Interactive, 60);
  int ofB = 0;
  for (const HeldShare& held : Serve(80)) {
    ofB += held.key_.team_ == TeamId{ "b" } ? 1 : 0;
  }
  EXPECT_EQ(ofB, 60);
}

// Guards against long or interactive work that never runs because urgent work
// keeps arriving.
TEST_F(FairQueueTest, GivesEachUrgencyItsLeastShareInAnUrgentFlood)
{
  Push("a", Urgency::Urgent, 200);
  Push("a", Urgency::Interactive, 200);
  Push("a", Urgency::Long, 200);
  const auto counts = CountByUrgency(Serve(80));
  EXPECT_GE(counts.at(Urgency::Interactive), 19);
  EXPECT_GE(counts.at(Urgency::Long), 9);
  EXPECT_GE(counts.at(Urgency::Urgent), 49);
}

// Guards against long work that occupies all slots while nothing else waits, so
// that urgent work that arrives later finds none free.
TEST_F(FairQueueTest, KeepsSlotsFreeOfLongWork)
{
  Push("a", Urgency::Long, 200);
  EXPECT_EQ(Serve(80).size(), 40U);
  Push("b", Urgency::Urgent, 30);
  EXPECT_EQ(CountByUrgency(Serve(80)).at(Urgency::Urgent), 30);
}

// Guards against work that is declared urgent and runs for long: it would evade
// the limit on long work.
TEST_F(FairQueueTest, TreatsWorkThatRunsForLongAsLongWork)
{
  Push("a", Urgency::Urgent, 40);
  for (const HeldShare& held : Serve(40)) {
    queue_.Return(held, 20s, now_);
  }
  Push("a", Urgency::Urgent, 200);
  EXPECT_EQ(Serve(80).size(), 40U);
}

// Guards against a team that occupies more slots than its quota allows.
TEST_F(FairQueueTest, HoldsATeamToItsLimit)
{
  terms_["a"].limit_ = SlotCount{ 2 };
  Push("a", Urgency::Interactive, 4);
  const auto held = Serve(80);
  EXPECT_EQ(held.size(), 2U);
  EXPECT_TRUE(queue_.IsOverQuota(held[0].key_));
  queue_.Return(held[0], 1s, now_);
  EXPECT_FALSE(queue_.IsOverQuota(held[0].key_));
  EXPECT_EQ(Serve(80).size(), 1U);
}

// Guards against a flood of requests from one team that fills the queue for all
// teams.
TEST_F(FairQueueTest, LeavesRoomInTheQueueForOtherTeams)
{
  const ShareKey flood{ ServiceId{ "survey" }, TeamId{ "a" }, Urgency::Long };
  int admitted = 0;
  while (queue_.HasRoom(flood, ByteCount{ 100 })) {
    Push("a", Urgency::Long);
    ++admitted;
  }
  EXPECT_EQ(admitted, 2048);
  const ShareKey other{ ServiceId{ "survey" }, TeamId{ "b" }, Urgency::Long };
  EXPECT_TRUE(queue_.HasRoom(other, ByteCount{ 100 }));
  EXPECT_FALSE(queue_.HasRoom(other, ByteCount{ 64U << 20U }));
}

// Guards against an expected wait that ignores the work ahead in the queue or
// the number of slots that the team gets.
TEST_F(FairQueueTest, ExpectsTheWaitOfTheWorkAheadOverTheFairSlots)
{
  const ShareKey key{ ServiceId{ "survey" },
                      TeamId{ "a" },
                      Urgency::Interactive };
  EXPECT_EQ(queue_.ExpectedWait(key), 0s);
  Push("a", Urgency::Interactive, 800);
  EXPECT_EQ(queue_.ExpectedWait(key), 1s);
  Push("b", Urgency::Interactive, 1);
  EXPECT_EQ(queue_.ExpectedWait(key), 2s);
}

// Guards against a cancelled or expired request that is still served.
TEST_F(FairQueueTest, NoLongerServesARemovedTicket)
{
  Push("a", Urgency::Urgent, 2);
  EXPECT_TRUE(queue_.Remove({ DaemonId{ "entry" }, RequestKey{ 1 } }));
  EXPECT_FALSE(queue_.Remove({ DaemonId{ "entry" }, RequestKey{ 1 } }));
  EXPECT_EQ(queue_.FirstExpired(now_ + 9s), nullptr);
  EXPECT_EQ(queue_.FirstExpired(now_ + 10s)->id_.key_, RequestKey{ 2 });
  EXPECT_EQ(Serve(5).size(), 1U);
  EXPECT_EQ(queue_.FirstExpired(now_ + 10s), nullptr);
}

// Guards against a request that fits on no worker now and blocks the requests
// of other teams behind it.
TEST_F(FairQueueTest, PassesOverABlockedShare)
{
  Push("a", Urgency::Urgent);
  Push("b", Urgency::Long);
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
TEST_F(FairQueueTest, TakesTurnsWhereTeamsOutnumberSlots)
{
  Push("a", Urgency::Urgent, 10);
  Push("b", Urgency::Long, 10);
  std::map<Urgency, int> counts;
  for (int i = 0; i < 10; ++i) {
    const HeldShare held = Serve(1).front();
    ++counts[held.key_.urgency_];
    queue_.Return(held, 1s, now_);
  }
  EXPECT_EQ(counts.at(Urgency::Long), 5);
}

// Guards against a single outlier that overturns the estimate, and against
// declared run times that are wrong by a factor of ten and never corrected.
TEST(RunTimeEstimateTest, CorrectsDeclaredRunTimesWithinTenTimes)
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
