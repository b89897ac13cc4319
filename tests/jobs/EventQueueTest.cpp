#include "verbenawell/jobs/overload/EventQueue.h"

#include <memory>
#include <string>
#include <vector>

#include <gtest/gtest.h>

namespace verbenawell::jobs {
namespace {

using namespace std::chrono_literals;

const JobId kJob{ "0000000000000001" };
const JobId kOtherJob{ "0000000000000002" };

/// A queue whose events are told apart by the numbers of their requests, or of
/// the positions at which they were pushed.
class Events : public testing::Test
{
protected:
  void Push(Event aEvent) { queue_.Push({ {}, std::move(aEvent) }, now_); }

  void PushRequest(std::uint64_t aKey, CallerAction aAction)
  {
    Push(CallerRequested{
      RequestKey{ aKey }, { {}, {}, std::move(aAction) }, 3s, false });
  }

  void PushSubmission(std::uint64_t aKey, const JobId& aJob)
  {
    PushRequest(aKey, SubmitJob{ aJob, nullptr });
  }

  Event Pop()
  {
    const auto due = queue_.Pop(now_);
    return due ? due->event_.event_ : Event{ Started{} };
  }

  /// Returns the keys of the requests in the order in which they are handled.
  std::vector<std::uint64_t> PopKeys()
  {
    std::vector<std::uint64_t> keys;
    while (const auto due = queue_.Pop(now_)) {
      if (const auto* request =
            std::get_if<CallerRequested>(&due->event_.event_)) {
        keys.push_back(request->key_.Value());
      }
    }
    return keys;
  }

  EventQueue queue_;
  TimePoint now_ = TimePoint{} + 10s;
};

// Guards against cancels, reports and renewals that wait behind requests.
TEST_F(Events, AreHandledInTheOrderOfTheirClasses)
{
  PushRequest(1, ReadJob{ kJob });
  PushSubmission(2, kOtherJob);
  Push(WorkerReported{});
  PushRequest(4, CancelJob{ kJob });
  Push(OwnerAppended{});
  EXPECT_TRUE(std::holds_alternative<OwnerAppended>(Pop()));
  EXPECT_EQ(std::get<CallerRequested>(Pop()).key_, RequestKey{ 4 });
  EXPECT_TRUE(std::holds_alternative<WorkerReported>(Pop()));
  EXPECT_EQ(std::get<CallerRequested>(Pop()).key_, RequestKey{ 2 });
  EXPECT_EQ(std::get<CallerRequested>(Pop()).key_, RequestKey{ 1 });
  EXPECT_TRUE(queue_.IsEmpty());
}

// Guards against a worker that counts as ended, or a lease as expired, while
// the worker's report waits.
TEST_F(Events, OfWorkersKeepTheirOrder)
{
  Push(WorkerReported{});
  Push(TimerDue{ LeaseTick{} });
  Push(WorkersRead{});
  Push(VmsRead{});
  Push(WorkerEnded{});
  EXPECT_TRUE(std::holds_alternative<WorkerReported>(Pop()));
  EXPECT_TRUE(std::holds_alternative<TimerDue>(Pop()));
  EXPECT_TRUE(std::holds_alternative<WorkersRead>(Pop()));
  EXPECT_TRUE(std::holds_alternative<VmsRead>(Pop()));
  EXPECT_TRUE(std::holds_alternative<WorkerEnded>(Pop()));
}

// Guards against a job that runs because its cancel was handled before its
// submission.
TEST_F(Events, OfACancelledJobKeepTheirOrder)
{
  PushSubmission(1, kOtherJob);
  PushSubmission(2, kJob);
  PushSubmission(3, kOtherJob);
  PushSubmission(4, kJob);
  PushRequest(5, CancelJob{ kJob });
  PushSubmission(6, kJob);
  const std::vector<std::uint64_t> expected{ 2, 4, 5, 1, 3, 6 };
  EXPECT_EQ(PopKeys(), expected);
}

// Guards against open requests of callers that have gone.
TEST_F(Events, OfARequestKeepTheirOrder)
{
  PushRequest(1, ReadJob{ kJob });
  Push(CallerDisconnected{ RequestKey{ 1 } });
  EXPECT_TRUE(std::holds_alternative<CallerRequested>(Pop()));
  EXPECT_TRUE(std::holds_alternative<CallerDisconnected>(Pop()));
}

// Guards against reads that wait for ever while workers take the whole
// processor, and against reads that take it from the workers.
TEST_F(Events, ThatHaveWaitedLongGetAnEighthOfTheProcessor)
{
  constexpr int kReads = 5;
  for (int index = 0; index < kReads; ++index) {
    PushRequest(1, ReadJob{ kJob });
  }
  now_ += 500ms;
  int reads = 0;
  int handled = 0;
  for (; reads < kReads && handled < 100; ++handled) {
    Push(WorkerReported{});
    reads += std::holds_alternative<CallerRequested>(Pop()) ? 1 : 0;
  }
  EXPECT_EQ(reads, kReads);
  EXPECT_EQ(handled, 8 * kReads);
}

// Guards against an owner that counts the time left from the end of a wait and
// serves callers that have given up.
TEST_F(Events, TakeTheWaitOffTheTimeLeft)
{
  PushRequest(1, ReadJob{ kJob });
  PushRequest(2, ReadJob{ kJob });
  now_ += 1s;
  EXPECT_EQ(queue_.LongestWait(now_), 1s);
  EXPECT_EQ(std::get<CallerRequested>(Pop()).timeLeft_, 2s);
  now_ += 5s;
  EXPECT_EQ(std::get<CallerRequested>(Pop()).timeLeft_, 0s);
  EXPECT_EQ(queue_.LongestWait(now_), 0s);
}

} // namespace
} // namespace verbenawell::jobs
