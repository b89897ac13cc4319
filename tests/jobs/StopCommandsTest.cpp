#include "ExpectNoViolations.h"

#include <algorithm>
#include <iterator>
#include <vector>

#include <gtest/gtest.h>

namespace verbenawell::jobs {
namespace {

using namespace std::chrono_literals;

const std::string kJob = "0000000000000001";

/// Has one worker with one task that runs until its job is cancelled.
class StopOrders : public testing::Test
{
protected:
  StopOrders()
  {
    JobDefinition job = MakeJob(1, 1, 1s);
    job.steps_[0].longRunning_ = true;
    installation_.RunFor(kStartUp);
    installation_.Submit(kJob, job);
    installation_.RunFor(2s);
  }

  [[nodiscard]] bool IsRunning()
  {
    return !installation_.WorkerAt(0).Running().empty();
  }

  [[nodiscard]] std::vector<LoggedEvent> LinesOf(const std::string& aEvent)
  {
    std::vector<LoggedEvent> lines;
    std::ranges::copy_if(
      installation_.log_, std::back_inserter(lines), [&](const auto& aLine) {
        return aLine.event_ == aEvent;
      });
    return lines;
  }

  Installation installation_{ 61, { 3, 1, 1 } };
};

// Guards against a log that does not distinguish a lost stop command from one
// that the worker received but did not execute.
TEST_F(StopOrders, AreReportedOnceWhereTheirRunIsListedTooLong)
{
  ASSERT_TRUE(IsRunning());
  installation_.WorkerAt(0).faults_.losesStops_ = true;
  installation_.Cancel(kJob);
  installation_.RunFor(6s);
  const auto overdue = LinesOf("task_stop_overdue");
  ASSERT_EQ(overdue.size(), 1U);
  EXPECT_EQ(overdue.front().Field("task"), kJob + ".0.0.0");
  EXPECT_EQ(overdue.front().Field("answered"), "no");
  EXPECT_TRUE(LinesOf("task_stopped").empty());
}

// Guards against a cancelled task that keeps running after its worker was
// unreachable. A list that showed the run was taken for the response to the
// stop command.
TEST_F(StopOrders, AreRepeatedToAWorkerThatStillListsTheRun)
{
  ASSERT_TRUE(IsRunning());
  WorkerFaults& faults = installation_.WorkerAt(0).faults_;
  faults.isCutOff_ = true;
  installation_.RunFor(500ms);
  installation_.Cancel(kJob);
  installation_.RunFor(3s);
  ASSERT_TRUE(IsRunning());
  faults.isCutOff_ = false;
  installation_.RunFor(3s);
  EXPECT_FALSE(IsRunning());
  ExpectKept(installation_);
}

// Guards against a cancelled task that keeps running when its worker was
// unreachable and the owner was replaced. The new owner knows the run only from
// the worker's list, since the job had ended before.
TEST_F(StopOrders, AreRepeatedForARunThatOnlyTheListShows)
{
  ASSERT_TRUE(IsRunning());
  WorkerFaults& faults = installation_.WorkerAt(0).faults_;
  faults.isCutOff_ = true;
  installation_.RunFor(500ms);
  installation_.Cancel(kJob);
  installation_.RunFor(500ms);
  installation_.Kill(installation_.Owner());
  installation_.RunFor(3500ms);
  ASSERT_TRUE(IsRunning());
  // The new owner's stop commands are lost until it has read a second list.
  faults.isCutOff_ = false;
  faults.losesStops_ = true;
  installation_.RunFor(3s);
  faults.losesStops_ = false;
  installation_.RunFor(2s);
  EXPECT_FALSE(IsRunning());
  ExpectKept(installation_);
}

// Guards against a wave that never ends because the stop commands for its
// maintenance were lost and are not repeated.
TEST(StopOrdersOfWaves, AreRepeatedUntilTheVmIsFree)
{
  Installation installation{ 62, { 3, 4, 2 } };
  JobDefinition job = MakeJob(4, 1, 1s);
  job.steps_[0].longRunning_ = true;
  job.steps_[0].disruptionBudget_ = TaskCount{ 1 };
  job.steps_[0].perWorker_ = TaskCount{ 2 };
  installation.RunFor(kStartUp);
  installation.Submit(kJob, job);
  installation.RunFor(2s);
  const auto loseStops = [&](bool aAreLost) {
    for (std::size_t index = 0; index < installation.Workers(); ++index) {
      installation.WorkerAt(index).faults_.losesStops_ = aAreLost;
    }
  };
  loseStops(true);
  installation.BeginWave(2);
  installation.RunFor(4s);
  loseStops(false);
  installation.RunFor(30s);
  EXPECT_TRUE(installation.store_.waveStatus_[WaveNumber{ 1 }]);
  EXPECT_EQ(installation.begun_.size(), 4U);
  ExpectKept(installation);
}

} // namespace
} // namespace verbenawell::jobs
