#include "verbenawell/jobs/callers/CallersReducer.h"

#include "ExpectNoViolations.h"
#include "OneQueue.h"

#include <algorithm>
#include <memory>
#include <optional>
#include <variant>
#include <vector>

#include <gtest/gtest.h>

namespace verbenawell::jobs {
namespace {

using namespace std::chrono_literals;

const JobId kJob{ "0000000000000001" };

SubmitJob
Submission()
{
  return { kJob, std::make_shared<const JobDefinition>(MakeJob(1, 1, 1s)) };
}

/// A daemon that has forwarded a submission to the owner and got no response.
class RepeatedSubmission : public testing::Test
{
protected:
  RepeatedSubmission()
  {
    state_.configuration_.configuration_ = ConfigurationWithOneQueue();
    state_.ownership_.owner_ = OwnerRecord{};
    state_.ownership_.owner_->daemon_ = DaemonId{ "owner" };
    state_.ownership_.renewedAt_ = TimePoint{} + 1s;
    Reduce(CallerRequested{
      kKey, { kCallerHost, kQueuePath, Submission() }, 3s, false });
    Reduce(ForwardCompleted{ kKey, std::nullopt, true });
    Reduce(TimerDue{ CallersTick{} });
  }

  /// Returns the response that the event leads to.
  std::optional<CallerResponse> Reduce(const Event& aEvent)
  {
    Effects effects;
    ReduceCallers(state_.callers_,
                  state_.View(),
                  aEvent,
                  { TimePoint{} + 1s, {}, {} },
                  effects);
    std::optional<CallerResponse> response;
    for (const Effect& effect : effects) {
      if (const auto* sent = std::get_if<SendResponse>(&effect)) {
        response = sent->response_;
      }
      forwards_ += std::holds_alternative<ForwardRequest>(effect) ? 1 : 0;
    }
    return response;
  }

  std::optional<CallerResponse> ReduceResponse(const CallerResponse& aResponse)
  {
    return Reduce(ForwardCompleted{ kKey, aResponse, true });
  }

  static constexpr RequestKey kKey{ 1 };
  State state_;
  int forwards_ = 0;
};

// Guards against a rejection of a job that runs (rule REFUSED). The owner
// stored the job and ended before it responded; the process that took its place
// had no configuration and rejected the repeated request.
TEST_F(RepeatedSubmission, IsSentAgainAfterARejectionWithoutAConfiguration)
{
  for (const RejectReason reason :
       { RejectReason::NoConfiguration, RejectReason::NoOwner }) {
    EXPECT_FALSE(ReduceResponse(JobRejected{ reason, 2s }));
    EXPECT_FALSE(Reduce(TimerDue{ CallersTick{} }));
  }
  // The first attempt, its repetition, and one for each rejection.
  EXPECT_EQ(forwards_, 4);
  const auto response = ReduceResponse(JobAccepted{});
  ASSERT_TRUE(response);
  EXPECT_TRUE(std::holds_alternative<JobAccepted>(*response));
}

// Guards against the same with a rejection by the present owner.
TEST_F(RepeatedSubmission, HasAnUnknownOutcomeAfterARejectionByTheOwner)
{
  for (const CallerResponse& rejection :
       { CallerResponse{ JobRejected{ RejectReason::Overload, 2s } },
         CallerResponse{ JobRejected{ RejectReason::StoreUnavailable, 2s } },
         CallerResponse{ QueueUnknown{} } }) {
    const State before = state_;
    const auto response = ReduceResponse(rejection);
    ASSERT_TRUE(response);
    EXPECT_TRUE(std::holds_alternative<OutcomeUnknown>(*response));
    state_ = before;
  }
}

// Guards against the same with a queue that is removed before the submission is
// sent again.
TEST_F(RepeatedSubmission, HasAnUnknownOutcomeAfterItsQueueIsRemoved)
{
  Reduce(ForwardCompleted{ kKey, std::nullopt, true });
  state_.configuration_.configuration_->queues_.clear();
  const auto response = Reduce(TimerDue{ CallersTick{} });
  ASSERT_TRUE(response);
  EXPECT_TRUE(std::holds_alternative<OutcomeUnknown>(*response));
}

// Guards against an unknown outcome of a request that was certainly not sent
// before.
TEST_F(RepeatedSubmission, IsRejectedIfNoEarlierAttemptWasSent)
{
  Reduce(ForwardCompleted{ kKey, std::nullopt, true });
  Reduce(CallerDisconnected{ kKey });
  Reduce(CallerRequested{
    kKey, { kCallerHost, kQueuePath, Submission() }, 3s, false });
  Reduce(ForwardCompleted{ kKey, std::nullopt, false });
  Reduce(TimerDue{ CallersTick{} });
  const auto response =
    ReduceResponse(JobRejected{ RejectReason::Overload, 2s });
  ASSERT_TRUE(response);
  EXPECT_TRUE(std::holds_alternative<JobRejected>(*response));
}

// Guards against an unknown outcome, which the caller cannot repeat, of a
// submission that no owner received before its deadline.
TEST_F(RepeatedSubmission, IsRejectedAtItsDeadlineIfItWasNeverSent)
{
  Reduce(CallerDisconnected{ kKey });
  Reduce(CallerRequested{
    kKey, { kCallerHost, kQueuePath, Submission() }, 100ms, false });
  Reduce(ForwardCompleted{ kKey, std::nullopt, false });
  Effects effects;
  ReduceCallers(state_.callers_,
                state_.View(),
                TimerDue{ CallersTick{} },
                { TimePoint{} + 1100ms, {}, {} },
                effects);
  const auto sent = std::ranges::find_if(effects, [](const Effect& aEffect) {
    return std::holds_alternative<SendResponse>(aEffect);
  });
  ASSERT_NE(sent, effects.end());
  const auto* rejected =
    std::get_if<JobRejected>(&std::get<SendResponse>(*sent).response_);
  ASSERT_NE(rejected, nullptr);
  EXPECT_EQ(rejected->reason_, RejectReason::NoOwner);
  EXPECT_GT(rejected->retryAfter_, 0s);
}

// Guards against a rejection by a daemon that has just started again and still
// gets the requests that others forward to it as the owner.
TEST(ForwardedRequests, GoBackToTheirSenderWithoutAConfiguration)
{
  State state;
  Effects effects;
  ReduceCallers(
    state.callers_,
    state.View(),
    CallerRequested{
      RequestKey{ 1 }, { kCallerHost, kQueuePath, Submission() }, 3s, true },
    { TimePoint{} + 1s, {}, {} },
    effects);
  int responses = 0;
  for (const Effect& effect : effects) {
    if (const auto* sent = std::get_if<SendResponse>(&effect)) {
      ++responses;
      const auto* notOwner = std::get_if<NotOwner>(&sent->response_);
      ASSERT_NE(notOwner, nullptr);
      EXPECT_FALSE(notOwner->mayHaveTakenEffect_);
    }
  }
  EXPECT_EQ(responses, 1);
}

// Guards against a job that runs although each of its submissions was rejected.
// The owner is killed while it stores jobs and starts again at once.
TEST(RestartedOwner, RejectsNoJobThatItHasStored)
{
  for (Duration offset = 1ms; offset < 60ms; offset += 1ms) {
    SimulatedDeployment deployment{ 28, {} };
    deployment.RunFor(kStartUpTime);
    const std::string owner = deployment.Owner();
    const std::string other = owner == "d0" ? "d1" : "d0";
    deployment.store_.faults_.latency_ = 30ms;
    std::optional<CallerResponse> response;
    deployment.time_.After(offset, [&] {
      deployment.Kill(owner);
      deployment.Start(owner);
    });
    response = deployment.SendAndWait(other, Submission());
    deployment.RunFor(10s);
    if (response && std::holds_alternative<JobRejected>(*response)) {
      EXPECT_EQ(deployment.oracle_.Starts(), 0U) << offset.count();
    }
  }
}

} // namespace
} // namespace verbenawell::jobs
