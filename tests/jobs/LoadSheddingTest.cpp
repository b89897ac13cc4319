#include "verbenawell/jobs/overload/LoadShedding.h"

#include "verbenawell/jobs/core/Reduce.h"

#include "OneQueue.h"

#include <memory>

#include <gtest/gtest.h>

namespace verbenawell::jobs {
namespace {

using namespace std::chrono_literals;

constexpr int kMeasurements = 20;

/// Returns how many of 100 submissions are rejected after the loop was this
/// late for some seconds.
int
CountRejections(LoadShedding& aShedding, Duration aLoopDelay)
{
  for (int measurement = 0; measurement < kMeasurements; ++measurement) {
    aShedding.Add(aLoopDelay);
  }
  int rejections = 0;
  for (int submission = 0; submission < 100; ++submission) {
    rejections += aShedding.RejectNext() ? 1 : 0;
  }
  return rejections;
}

// Guards against an owner that accepts more than it can start in time, so that
// all jobs become late, and against one that rejects all or nothing.
TEST(LoadShedding, RejectsTheMoreTheLaterTheEventLoopIs)
{
  LoadShedding shedding;
  EXPECT_EQ(CountRejections(shedding, 50ms), 0);
  EXPECT_NEAR(CountRejections(shedding, 300ms), 50, 2);
  EXPECT_EQ(CountRejections(shedding, 2s), 100);
  EXPECT_EQ(CountRejections(shedding, 0ms), 0);
}

// Guards against rejections for a single late measurement, such as after a
// pause of the process.
TEST(LoadShedding, RejectsNothingAfterOneDelayOf200Milliseconds)
{
  LoadShedding shedding;
  CountRejections(shedding, 0ms);
  shedding.Add(200ms);
  EXPECT_FALSE(shedding.RejectNext());
}

// Guards against callers that return while the events that made the owner late
// are still waiting.
TEST(LoadShedding, AsksCallersToReturnAfterTheBacklog)
{
  LoadShedding shedding;
  EXPECT_EQ(shedding.RetryAfter(), 1s);
  CountRejections(shedding, 1s);
  EXPECT_GT(shedding.RetryAfter(), 5s);
  CountRejections(shedding, 60s);
  EXPECT_EQ(shedding.RetryAfter(), 30s);
}

/// An owner that is ready, without workers.
class LateOwner : public testing::Test
{
protected:
  LateOwner()
  {
    state_.configuration_.configuration_ = ConfigurationWithOneQueue();
    Owning owning;
    owning.renewalSentAt_ = now_;
    state_.ownership_.role_ = owning;
    state_.journal_.phase_ = JournalReady{};
    for (int measurement = 0; measurement < kMeasurements; ++measurement) {
      Apply(LoopDelayMeasured{ 3s });
    }
  }

  Effects Apply(const Event& aEvent)
  {
    return Reduce(state_, aEvent, { now_, {}, {} });
  }

  /// Returns the immediate response to a request; empty if it is pending.
  std::optional<CallerResponse> Send(CallerAction aAction)
  {
    for (const Effect& effect : Apply(CallerRequested{
           ++key_, { kCallerHost, "/queue/0", std::move(aAction) }, 3s })) {
      if (const auto* response = std::get_if<SendResponse>(&effect)) {
        return response->response_;
      }
    }
    return std::nullopt;
  }

  std::optional<CallerResponse> Submit(const char* aJob,
                                       JobDefinition aDefinition)
  {
    return Send(SubmitJob{
      JobId{ aJob },
      std::make_shared<const JobDefinition>(std::move(aDefinition)) });
  }

  TimePoint now_ = TimePoint{} + 10s;
  State state_;
  RequestKey key_;
};

// Guards against submissions that wait for a late owner until their deadlines.
TEST_F(LateOwner, RejectsASubmissionAtOnce)
{
  const auto response = Submit("0000000000000001", MakeJob(2, 1, 1s));
  ASSERT_TRUE(response);
  const auto* rejected = std::get_if<JobRejected>(&*response);
  ASSERT_NE(rejected, nullptr);
  EXPECT_EQ(rejected->reason_, RejectReason::Overload);
  EXPECT_GT(rejected->retryAfter_, 1s);
  EXPECT_TRUE(state_.tasks_.jobs_.empty());
}

// Guards against a rejection that says that a job never runs, although an
// earlier attempt was accepted and its response was lost.
TEST_F(LateOwner, AcceptsAnAcceptedJobAgain)
{
  Job job;
  job.id_ = JobId{ "0000000000000001" };
  job.definition_ = MakeJob(2, 1, 1s);
  job.stored_ = true;
  state_.tasks_.jobs_.emplace(job.id_, job);
  const auto response = Submit("0000000000000001", job.definition_);
  ASSERT_TRUE(response);
  EXPECT_TRUE(std::holds_alternative<JobAccepted>(*response));
}

// Guards against jobs that serve users until they are cancelled and are turned
// away in a burst of short jobs.
TEST_F(LateOwner, AcceptsALongRunningJob)
{
  JobDefinition job = MakeJob(2, 1, 1s);
  job.steps_[0].longRunning_ = true;
  EXPECT_FALSE(Submit("0000000000000001", std::move(job)));
  EXPECT_EQ(state_.tasks_.jobs_.size(), 1U);
}

} // namespace
} // namespace verbenawell::jobs
