#include "ExpectNoViolations.h"

#include <chrono>
#include <string>
#include <variant>

#include <gtest/gtest.h>

namespace verbenawell::jobs {
namespace {

using namespace std::chrono_literals;

const std::string kJob = "0000000000000001";

/// Has a job that ends while the time of day is set back.
class ClockStep : public testing::Test
{
protected:
  ClockStep()
  {
    deployment_.RunFor(kStartUpTime);
    SetClocksBy(-200s);
  }

  void SetClocksBy(std::chrono::seconds aOffset)
  {
    for (const std::string& daemon : deployment_.Running()) {
      deployment_.wallOffsets_[daemon] = aOffset;
    }
  }

  void CorrectClocks()
  {
    SetClocksBy(0s);
    deployment_.RunFor(2s);
  }

  void SubmitAgain(const JobDefinition& aJob)
  {
    deployment_.Submit(kJob, aJob);
    deployment_.RunFor(3s);
  }

  SimulatedDeployment deployment_{ 71, { 3, 2, 2 } };
};

// Guards against a completed job that callers are told is unknown, and that
// runs again when its submission is repeated.
TEST_F(ClockStep, DoesNotForgetCompletedJobs)
{
  const JobDefinition job = MakeJob(2, 1, 500ms);
  deployment_.Submit(kJob, job);
  deployment_.RunFor(2s);
  ASSERT_EQ(deployment_.StateOfJob(kJob), JobState::Completed);
  CorrectClocks();
  const auto response =
    deployment_.SendAndWait(deployment_.Owner(), ReadJob{ JobId{ kJob } });
  ASSERT_TRUE(response);
  EXPECT_TRUE(std::holds_alternative<JobStateReported>(*response));
  SubmitAgain(job);
  ExpectNoViolations(deployment_);
}

// Guards against a cancelled job that starts when its submission is repeated.
TEST_F(ClockStep, DoesNotForgetCancelledJobs)
{
  JobDefinition job = MakeJob(2, 1, 1s);
  job.steps_[0].longRunning_ = true;
  deployment_.Submit(kJob, job);
  deployment_.RunFor(2s);
  deployment_.Cancel(kJob);
  deployment_.RunFor(5s);
  CorrectClocks();
  SubmitAgain(job);
  EXPECT_TRUE(deployment_.WorkerAt(0).Running().empty());
  EXPECT_TRUE(deployment_.WorkerAt(1).Running().empty());
  ExpectNoViolations(deployment_);
}

// Guards against a new owner that compares its own clock with that of the owner
// which stored the outcome.
TEST_F(ClockStep, DoesNotForgetJobsOfAnEarlierOwner)
{
  const JobDefinition job = MakeJob(2, 1, 500ms);
  deployment_.Submit(kJob, job);
  deployment_.RunFor(2s);
  deployment_.Kill(deployment_.Owner());
  SetClocksBy(0s);
  deployment_.RunFor(6s);
  EXPECT_EQ(deployment_.StateOfJob(kJob), JobState::Completed);
  SubmitAgain(job);
  ExpectNoViolations(deployment_);
}

} // namespace
} // namespace verbenawell::jobs
