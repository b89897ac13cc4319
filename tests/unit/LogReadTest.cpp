#include "verbenawell/core/State.h"
#include "verbenawell/log/LogReducer.h"
#include "verbenawell/log/Streams.h"

#include <gtest/gtest.h>

namespace verbenawell {
namespace {

const StreamId kStream{ "intents/web" };

LogRecord
MakeRecord(std::uint64_t aOffset)
{
  return { Offset{ aOffset },
           RecordId{ "r" + std::to_string(aOffset) },
           IntentOwner{ PoolId{ "web" }, DaemonId{ "d1" }, PoolEpoch{ 1 } } };
}

/// Runs the log reducer alone and keeps the effects of the last event.
class LogReadTest : public testing::Test
{
protected:
  void Run(const Event& aEvent)
  {
    effects_.clear();
    ReduceLog(state_.log_, state_.View(), aEvent, context_, effects_);
  }

  void FollowStream(std::uint64_t aFrom)
  {
    Run(StreamRequested{ kStream, Offset{ aFrom } });
  }

  void ReceivePage(std::uint64_t aFirst,
                   std::uint64_t aNext,
                   std::vector<LogRecord> aRecords)
  {
    Run(LogRead{ kStream,
                 state_.log_.streams_[kStream].next_,
                 Offset{ aFirst },
                 Offset{ aNext },
                 std::move(aRecords) });
  }

  void Append(const std::string& aId)
  {
    Run(AppendRequested{ kStream, RecordId{ aId }, IntentOwner{} });
  }

  void FailAppend(const std::string& aId)
  {
    Run(LogAppendFailed{ kStream, RecordId{ aId }, false, "no answer" });
  }

  template<typename Kind>
  [[nodiscard]] std::vector<Kind> EffectsOfType() const
  {
    std::vector<Kind> result;
    for (const Effect& effect : effects_) {
      if (const auto* found = std::get_if<Kind>(&effect)) {
        result.push_back(*found);
      }
    }
    return result;
  }

  template<typename Kind>
  [[nodiscard]] std::vector<Kind> RaisedEvents() const
  {
    std::vector<Kind> result;
    for (const Raise& raise : EffectsOfType<Raise>()) {
      if (const auto* found = std::get_if<Kind>(&raise.event_)) {
        result.push_back(*found);
      }
    }
    return result;
  }

  [[nodiscard]] bool IsCounted(Counter aCounter) const
  {
    for (const Count& count : EffectsOfType<Count>()) {
      if (count.key_ == CounterKey{ aCounter }) {
        return true;
      }
    }
    return false;
  }

  State state_;
  Context context_{ TimePoint{}, WallTime{}, DaemonId{ "d1" } };
  Effects effects_;
};

// Guards against a record that is applied twice because two overlapping pages
// hold it.
TEST_F(LogReadTest, RaisesEachRecordOnceAndInOrder)
{
  FollowStream(1);
  ReceivePage(1, 3, { MakeRecord(1), MakeRecord(2) });
  ASSERT_EQ(RaisedEvents<StreamAdvanced>().size(), 1U);
  ReceivePage(1, 4, { MakeRecord(2), MakeRecord(3) });
  const auto advanced = RaisedEvents<StreamAdvanced>();
  ASSERT_EQ(advanced.size(), 1U);
  ASSERT_EQ(advanced[0].records_.size(), 1U);
  EXPECT_EQ(advanced[0].records_[0].offset_, Offset{ 3 });
}

// Guards against a takeover that continues before it has read the stream to its
// end.
TEST_F(LogReadTest, ReportsTheEndOfTheStreamOnce)
{
  FollowStream(0);
  ReceivePage(7, 9, { MakeRecord(7) });
  EXPECT_TRUE(RaisedEvents<StreamCaughtUp>().empty());
  EXPECT_EQ(EffectsOfType<ReadLog>().at(0).from_, Offset{ 8 });
  ReceivePage(7, 9, { MakeRecord(8) });
  EXPECT_EQ(RaisedEvents<StreamCaughtUp>().at(0).next_, Offset{ 9 });
  ReceivePage(7, 9, {});
  EXPECT_TRUE(RaisedEvents<StreamCaughtUp>().empty());
}

// Guards against records that reach a reducer after it has stopped following
// their stream.
TEST_F(LogReadTest, RaisesNoRecordsOfAStreamThatIsNoLongerFollowed)
{
  FollowStream(1);
  Run(StreamReleased{ kStream });
  ReceivePage(1, 2, { MakeRecord(1) });
  EXPECT_TRUE(RaisedEvents<StreamAdvanced>().empty());
  EXPECT_FALSE(state_.log_.streams_.contains(kStream));
}

// Guards against a page that was requested from an earlier read position and is
// taken for a gap at the new one.
TEST_F(LogReadTest, IgnoresAPageRequestedFromAnEarlierPosition)
{
  FollowStream(5);
  Run(StreamRequested{ kStream, Offset{ 1 } });
  Run(LogRead{
    kStream, Offset{ 5 }, Offset{ 1 }, Offset{ 6 }, { MakeRecord(5) } });
  EXPECT_TRUE(RaisedEvents<StreamAdvanced>().empty());
  EXPECT_TRUE(RaisedEvents<StreamGap>().empty());
  EXPECT_EQ(EffectsOfType<ReadLog>().at(0).from_, Offset{ 1 });
}

// Guards against a fleet state that silently lacks the records that retention
// has deleted.
TEST_F(LogReadTest, NeverSkipsAGapOfTheFleetStream)
{
  Run(StreamRequested{ FleetStream(), Offset{ 1 } });
  const LogRead page{
    FleetStream(), Offset{ 1 }, Offset{ 5 }, Offset{ 6 }, { MakeRecord(5) }
  };
  Run(page);
  EXPECT_TRUE(RaisedEvents<StreamAdvanced>().empty());
  EXPECT_TRUE(RaisedEvents<StreamCaughtUp>().empty());
  EXPECT_EQ(RaisedEvents<StreamGap>().at(0).first_, Offset{ 5 });
  EXPECT_EQ(state_.log_.streams_[FleetStream()].next_, Offset{ 1 });
}

// Guards against hundreds of daemons that all read at the same moment after an
// outage of the log.
TEST_F(LogReadTest, RandomizesPollsWithinTwoSecondsDuringAnOutage)
{
  std::set<Duration> intervals;
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    state_.log_ = LogState{};
    state_.log_.random_ = Random{ seed };
    FollowStream(1);
    for (int failure = 0; failure < 10; ++failure) {
      Run(LogReadFailed{ kStream, "down" });
      Run(TimerDue{ LogPoll{ kStream } });
    }
    Run(LogReadFailed{ kStream, "down" });
    const Duration interval = EffectsOfType<SetTimer>().at(0).after_;
    EXPECT_GE(interval, std::chrono::seconds(1));
    EXPECT_LE(interval, std::chrono::seconds(2));
    intervals.insert(interval);
  }
  EXPECT_GT(intervals.size(), 15U);
}

// Guards against frequently failing appends that postpone each poll, so that
// the log is never read.
TEST_F(LogReadTest, DoesNotPostponeAPollWhenAnAppendFails)
{
  FollowStream(1);
  ReceivePage(1, 1, {});
  ASSERT_EQ(EffectsOfType<SetTimer>().size(), 1U);
  Append("a");
  FailAppend("a");
  EXPECT_TRUE(EffectsOfType<SetTimer>().empty());
}

// Guards against polls of idle pools that cost more than all other control
// traffic.
TEST_F(LogReadTest, PollsAnIdleIntentStreamAtIncreasingIntervals)
{
  FollowStream(1);
  Duration before{};
  for (int read = 0; read < 6; ++read) {
    ReceivePage(1, 1, {});
    const Duration after = EffectsOfType<SetTimer>().at(0).after_;
    EXPECT_GE(after, before);
    before = after;
    Run(TimerDue{ LogPoll{ kStream } });
  }
  EXPECT_EQ(before, std::chrono::seconds(8));
  ReceivePage(1, 2, { MakeRecord(1) });
  EXPECT_LE(EffectsOfType<SetTimer>().at(0).after_,
            std::chrono::milliseconds(250));
}

// Guards against an append to an idle stream that waits for the next slow poll
// when its response is lost: the request that depends on it would be refused
// meanwhile.
TEST_F(LogReadTest, ReadsAnIdleStreamSoonAfterAnAppend)
{
  FollowStream(1);
  for (int read = 0; read < 6; ++read) {
    ReceivePage(1, 1, {});
    Run(TimerDue{ LogPoll{ kStream } });
  }
  ReceivePage(1, 1, {});
  Append("a");
  ASSERT_EQ(EffectsOfType<SetTimer>().size(), 2U);
  EXPECT_EQ(EffectsOfType<SetTimer>()[1].key_, TimerKey{ LogPoll{ kStream } });
  EXPECT_LE(EffectsOfType<SetTimer>()[1].after_,
            std::chrono::milliseconds(250));
  FailAppend("a");
  EXPECT_TRUE(EffectsOfType<SetTimer>().empty());
}

// Guards against requests that wait for a second round trip to a slow log:
// their batches took as long as the requests may wait, and the requests were
// refused.
TEST_F(LogReadTest, RaisesAnAppendedRecordThatIsTheNextWithoutReadingIt)
{
  FollowStream(1);
  ReceivePage(1, 1, {});
  Append("a");
  Run(LogAppended{ kStream, RecordId{ "a" }, Offset{ 1 } });
  EXPECT_TRUE(EffectsOfType<ReadLog>().empty());
  const auto advanced = RaisedEvents<StreamAdvanced>();
  ASSERT_EQ(advanced.size(), 1U);
  ASSERT_EQ(advanced[0].records_.size(), 1U);
  EXPECT_EQ(advanced[0].records_[0].id_, RecordId{ "a" });
  Run(advanced[0]);
  EXPECT_TRUE(state_.log_.pending_.empty());
  Run(TimerDue{ LogPoll{ kStream } });
  ReceivePage(1, 2, { MakeRecord(1) });
  EXPECT_TRUE(RaisedEvents<StreamAdvanced>().empty());
}

// Guards against a record that is raised before those that other daemons have
// appended, and against one that a take-over raises before it has read the
// stream to its end.
TEST_F(LogReadTest, ReadsAnAppendedRecordThatIsNotTheNext)
{
  FollowStream(1);
  Append("a");
  Run(LogAppended{ kStream, RecordId{ "a" }, Offset{ 1 } });
  EXPECT_TRUE(RaisedEvents<StreamAdvanced>().empty());
  ReceivePage(1, 1, {});
  EXPECT_FALSE(EffectsOfType<ReadLog>().empty());
  ReceivePage(1, 2, { MakeRecord(1) });
  Append("b");
  Run(LogAppended{ kStream, RecordId{ "b" }, Offset{ 3 } });
  EXPECT_TRUE(RaisedEvents<StreamAdvanced>().empty());
  EXPECT_EQ(EffectsOfType<ReadLog>().at(0).from_, Offset{ 2 });
}

// Guards against a second append of a record whose first append succeeded but
// whose response was lost.
TEST_F(LogReadTest, ConfirmsAnAppendWithoutAResponseByReading)
{
  FollowStream(1);
  ReceivePage(1, 1, {});
  Append("r1");
  FailAppend("r1");
  Run(TimerDue{ LogPoll{ kStream } });
  ReceivePage(1, 2, { MakeRecord(1) });
  EXPECT_TRUE(EffectsOfType<AppendLog>().empty());
  EXPECT_TRUE(IsCounted(Counter::LogAppendsConfirmedByRead));
  EXPECT_TRUE(state_.log_.pending_.empty());
}

// Guards against a second append after a read that started before the first one
// failed: such a read cannot show whether the first append took effect.
TEST_F(LogReadTest, RepeatsAnAppendOnlyAfterAReadThatStartedAfterTheFailure)
{
  FollowStream(1);
  Append("a");
  FailAppend("a");
  ReceivePage(1, 1, {});
  EXPECT_TRUE(EffectsOfType<AppendLog>().empty());
  Run(TimerDue{ LogPoll{ kStream } });
  ReceivePage(1, 3, { MakeRecord(1) });
  EXPECT_TRUE(EffectsOfType<AppendLog>().empty());
  ReceivePage(1, 4, { MakeRecord(2) });
  ASSERT_EQ(EffectsOfType<AppendLog>().size(), 1U);
  EXPECT_EQ(EffectsOfType<AppendLog>()[0].id_, RecordId{ "a" });
}

// Guards against reducers that wait forever for a record during a long outage.
TEST_F(LogReadTest, GivesUpAnAppendAfterTheMaximumAge)
{
  Append("a");
  FailAppend("a");
  context_.now_ += std::chrono::seconds(11);
  Run(TimerDue{ AppendExpiry{} });
  const auto givenUp = RaisedEvents<AppendAbandoned>();
  ASSERT_EQ(givenUp.size(), 1U);
  EXPECT_TRUE(givenUp[0].mayBeInLog_);
  EXPECT_TRUE(state_.log_.pending_.empty());
}

// Guards against memory that grows with the length of an outage.
TEST_F(LogReadTest, RejectsAppendsBeyondThePendingLimitWithoutSendingThem)
{
  for (int append = 0; append < 1024; ++append) {
    Append("a" + std::to_string(append));
  }
  EXPECT_TRUE(RaisedEvents<AppendAbandoned>().empty());
  Append("one-more");
  const auto givenUp = RaisedEvents<AppendAbandoned>();
  ASSERT_EQ(givenUp.size(), 1U);
  EXPECT_FALSE(givenUp[0].mayBeInLog_);
  EXPECT_TRUE(EffectsOfType<AppendLog>().empty());
}

} // namespace
} // namespace verbenawell
