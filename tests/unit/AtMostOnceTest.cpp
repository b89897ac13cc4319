#include "verbenawell/log/Streams.h"

#include "Daemons.h"

#include <algorithm>

#include <gtest/gtest.h>

namespace verbenawell {
namespace {

constexpr Duration kStep = std::chrono::milliseconds(100);

class AtMostOnceTest : public testing::Test
{
protected:
  AtMostOnceTest()
    : daemons_({ "d1", "d2", "d3" })
  {
    owner_ = daemons_.FindOwner();
    entry_ = owner_ == "d1" ? "d2" : "d1";
    other_ = owner_ == "d3" ? "d2" : "d3";
    if (other_ == entry_) {
      other_ = "d3";
    }
  }

  void DeliverAndTick()
  {
    daemons_.DeliverAll();
    daemons_.Tick(kStep);
  }

  template<typename Reason>
  bool LastOutcomeIs(Reason aReason)
  {
    return !daemons_.refused_.empty() &&
           std::visit(
             [&](const auto& aVerdict) {
               return CounterKey{ aVerdict.reason_ } == CounterKey{ aReason };
             },
             daemons_.refused_.back().verdict_);
  }

  Daemons daemons_;
  std::string owner_;
  std::string entry_;
  std::string other_;
};

// Guards against several owners of one pool after several daemons have started
// together.
TEST_F(AtMostOnceTest, GivesAPoolOneOwner)
{
  int owners = 0;
  for (const char* name : { "d1", "d2", "d3" }) {
    owners += static_cast<int>(
      daemons_.StateOf(name).requests_.takeover_.owned_.size());
  }
  EXPECT_EQ(owners, 1);
}

// Guards against a slot that is granted to a non-idempotent request before its
// intent is in the log: a later owner would run the request again.
TEST_F(AtMostOnceTest, StartsNothingBeforeTheIntentIsInTheLog)
{
  daemons_.isLogUnavailable_ = true;
  daemons_.SendRequest(entry_, RequestKey{ 1 }, "order");
  DeliverAndTick();
  EXPECT_TRUE(daemons_.started_.empty());
}

// Guards against non-idempotent requests that wait without a response while the
// log does not confirm their intents.
TEST_F(AtMostOnceTest, RefusesRequestsWhileTheLogIsUnavailable)
{
  daemons_.isLogUnavailable_ = true;
  daemons_.SendRequest(entry_, RequestKey{ 1 }, "order");
  for (int step = 0; step < 12; ++step) {
    DeliverAndTick();
  }
  EXPECT_TRUE(LastOutcomeIs(RefusalReason::LogDown));
}

// Guards against a second run of a non-idempotent request whose caller retries
// it through another entry daemon.
TEST_F(AtMostOnceTest, ReportsARetryOfAStartedRequestAsAlreadyStarted)
{
  daemons_.SendRequest(entry_, RequestKey{ 1 }, "order");
  DeliverAndTick();
  ASSERT_EQ(daemons_.started_.size(), 1U);
  daemons_.SendRequest(other_, RequestKey{ 7 }, "order");
  DeliverAndTick();
  EXPECT_EQ(daemons_.started_.size(), 1U);
  EXPECT_TRUE(LastOutcomeIs(UnknownReason::AlreadyStarted));
}

// Guards against a request id that stays blocked although the request was never
// sent to a worker: its intent must be withdrawn.
TEST_F(AtMostOnceTest, RunsARetryOfARequestThatWasNotSent)
{
  daemons_.SendRequest(entry_, RequestKey{ 1 }, "order");
  DeliverAndTick();
  daemons_.EndAttempt(entry_, RequestKey{ 1 }, NotSent{});
  daemons_.Apply(entry_, CallerDisconnected{ RequestKey{ 1 } });
  DeliverAndTick();
  daemons_.SendRequest(other_, RequestKey{ 7 }, "order");
  DeliverAndTick();
  DeliverAndTick();
  EXPECT_EQ(daemons_.started_.back().first, other_);
}

// Guards against a second run of a request after its pool owner and its entry
// daemon have failed together. Only the log still holds the intent then.
TEST_F(AtMostOnceTest, KeepsIntentsWhenOwnerAndEntryFailTogether)
{
  daemons_.SendRequest(entry_, RequestKey{ 1 }, "order");
  DeliverAndTick();
  ASSERT_EQ(daemons_.started_.size(), 1U);
  daemons_.RemoveDaemon(owner_);
  daemons_.RemoveDaemon(entry_);
  DeliverAndTick();
  daemons_.SendRequest(other_, RequestKey{ 7 }, "order");
  DeliverAndTick();
  EXPECT_EQ(daemons_.started_.size(), 1U);
  EXPECT_TRUE(LastOutcomeIs(UnknownReason::AlreadyStarted));
}

// Guards against a second run after a takeover. The next owner granted a
// delayed duplicate of a request that had run, and took the return of the
// unused grant as proof that the request never ran (fuzz_reducers seed 35 with
// three partitions).
TEST_F(AtMostOnceTest, KeepsTheIntentOfAnEarlierOwnerWhenAGrantReturnsUnused)
{
  daemons_.SendRequest(entry_, RequestKey{ 1 }, "order");
  DeliverAndTick();
  ASSERT_EQ(daemons_.started_.size(), 1U);
  daemons_.EndAttempt(entry_, RequestKey{ 1 }, TruncatedResponse{});
  daemons_.RemoveDaemon(owner_);
  DeliverAndTick();
  DeliverAndTick();
  const std::string next = daemons_.FindOwner();
  ASSERT_FALSE(next.empty());
  RequestHead head;
  head.id_ = RequestId{ "order" };
  head.service_ = ServiceId{ "slot" };
  head.deadline_ = std::chrono::seconds(10);
  daemons_.Apply(
    next,
    PeerMessageReceived{ DaemonId{ entry_ },
                         SlotRequest{ RequestKey{ 1 }, head, {} } });
  DeliverAndTick();
  DeliverAndTick();
  ASSERT_EQ(daemons_.CountOf(Counter::GrantsReturnedUnused), 1U);
  daemons_.SendRequest(other_, RequestKey{ 7 }, "order");
  DeliverAndTick();
  DeliverAndTick();
  EXPECT_EQ(daemons_.started_.size(), 1U);
  EXPECT_TRUE(LastOutcomeIs(UnknownReason::AlreadyStarted));
}

// Guards against grants and planned stops by an owner that claims its pool
// again and does not know yet what runs. A batch of intents of its earlier
// epoch came back from the log while it awaited reports, and the request in it
// opened an empty queue.
TEST_F(AtMostOnceTest, OpensNoQueueForAnEarlierEpochWhileReportsAreAwaited)
{
  const PoolId pool{ "web" };
  daemons_.isLogUnavailable_ = true;
  daemons_.SendRequest(entry_, RequestKey{ 1 }, "order");
  daemons_.DeliverAll();
  const PoolIntents& intents =
    daemons_.StateOf(owner_).requests_.intents_.pools_.at(pool);
  ASSERT_TRUE(intents.inFlight_.has_value());
  IntentBatch batch;
  batch.pool_ = pool;
  batch.owner_ = DaemonId{ owner_ };
  batch.epoch_ = intents.epoch_;
  batch.sequence_ = intents.inFlight_->sequence_;
  batch.started_ = {
    { RequestId{ "order" }, DaemonId{ entry_ }, RequestKey{ 1 } }
  };
  const LogRecord record{ Offset{ 100 }, intents.inFlight_->record_, batch };
  daemons_.Apply(owner_,
                 EpochExceeded{ pool, intents.epoch_ + PoolEpoch{ 1'000 } });
  daemons_.Apply(owner_, StreamAdvanced{ IntentStream(pool), { record } });
  EXPECT_FALSE(daemons_.StateOf(owner_).requests_.owner_.pools_.contains(pool));
}

// Guards against a second run after a service has moved to another pool: the
// owner of the new pool does not know the intents in the stream of the old one
// (fuzz_reducers seeds 162 and 326).
TEST_F(AtMostOnceTest, RefusesNonIdempotentRequestsOfAServiceThatHasJustMoved)
{
  constexpr WallTime kLaterThanAnyTest{ std::chrono::hours(1'000'000) };
  for (const char* name : { "d1", "d2", "d3" }) {
    auto& services = daemons_.StateOf(name).fleet_.services_;
    services.begin()->second.movedAt_ = kLaterThanAnyTest;
  }
  daemons_.SendRequest(entry_, RequestKey{ 1 }, "order");
  DeliverAndTick();
  EXPECT_TRUE(daemons_.started_.empty());
  EXPECT_TRUE(LastOutcomeIs(RefusalReason::ServiceMoved));
  daemons_.SendRequest(entry_, RequestKey{ 2 }, "look", true);
  DeliverAndTick();
  EXPECT_EQ(daemons_.started_.size(), 1U);
}

// Guards against requests that are lost with the owner in whose queue they
// wait: the entry daemon must send them to the next owner.
TEST_F(AtMostOnceTest, SendsQueuedRequestsToTheNextOwner)
{
  daemons_.SendRequest(entry_, RequestKey{ 1 }, "order");
  daemons_.RemoveDaemon(owner_);
  DeliverAndTick();
  DeliverAndTick();
  ASSERT_EQ(daemons_.started_.size(), 1U);
  EXPECT_EQ(daemons_.started_.back().first, entry_);
  EXPECT_EQ(daemons_.CountOf(RetryReason::OwnerChanged), 1U);
}

// Guards against slots that the next owner grants a second time because it does
// not know the attempts that still run on them.
TEST_F(AtMostOnceTest, KeepsTheSlotsOfRunningAttemptsDuringATakeover)
{
  daemons_.SendRequest(entry_, RequestKey{ 1 }, "read", /*aIdempotent=*/true);
  DeliverAndTick();
  ASSERT_EQ(daemons_.started_.size(), 1U);
  daemons_.RemoveDaemon(owner_);
  DeliverAndTick();
  const std::string next = daemons_.FindOwner();
  ASSERT_FALSE(next.empty());
  const auto& pools = daemons_.StateOf(next).requests_.owner_.pools_;
  EXPECT_EQ(pools.at(PoolId{ "web" }).granted_.size(), 1U);
}

// Guards against an owner that goes on granting slots after a pause during
// which another daemon may have taken its pools over.
TEST_F(AtMostOnceTest, GivesUpItsPoolsAfterAPause)
{
  daemons_.Tick(std::chrono::seconds(5));
  EXPECT_EQ(daemons_.FindOwner(), "");
  for (int step = 0; step < 12; ++step) {
    DeliverAndTick();
  }
  EXPECT_EQ(daemons_.FindOwner(), owner_);
}

// Guards against requests that no outcome counter, or more than one, accounts
// for.
TEST_F(AtMostOnceTest, CountsEachRequestOnce)
{
  daemons_.SendRequest(entry_, RequestKey{ 1 }, "a", true);
  daemons_.SendRequest(entry_, RequestKey{ 2 }, "b", true);
  daemons_.SendRequest(entry_, RequestKey{ 3 }, "c");
  DeliverAndTick();
  daemons_.EndAttempt(entry_, RequestKey{ 1 }, CompleteResponse{});
  daemons_.Apply(entry_, CallerDisconnected{ RequestKey{ 1 } });
  daemons_.Apply(entry_, CallerDisconnected{ RequestKey{ 2 } });
  daemons_.EndAttempt(entry_, RequestKey{ 3 }, TruncatedResponse{});
  DeliverAndTick();
  EXPECT_EQ(daemons_.CountOf(Counter::RequestsReceived), 3U);
  EXPECT_EQ(daemons_.CountOf(Counter::ResponsesForwarded), 1U);
  EXPECT_EQ(daemons_.CountOf(Counter::RequestsCancelled), 1U);
  EXPECT_EQ(daemons_.CountOf(UnknownReason::BackendConnectionLost), 1U);
}

// Guards against the outcome "not run" for a request of which an earlier
// attempt may have run.
TEST_F(AtMostOnceTest, ReportsTheOutcomeAsUnknownOnceAnAttemptMayHaveRun)
{
  daemons_.SendRequest(entry_, RequestKey{ 1 }, "read", /*aIdempotent=*/true);
  DeliverAndTick();
  daemons_.EndAttempt(entry_, RequestKey{ 1 }, TruncatedResponse{});
  DeliverAndTick();
  daemons_.EndAttempt(entry_, RequestKey{ 1 }, TruncatedResponse{});
  DeliverAndTick();
  daemons_.EndAttempt(entry_, RequestKey{ 1 }, NotSent{});
  DeliverAndTick();
  EXPECT_TRUE(LastOutcomeIs(UnknownReason::BackendConnectionLost));
}

} // namespace
} // namespace verbenawell
