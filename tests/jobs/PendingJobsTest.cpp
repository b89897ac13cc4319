#include "ExpectNoViolations.h"

#include <string>
#include <variant>

#include <gtest/gtest.h>

namespace verbenawell::jobs {
namespace {

using namespace std::chrono_literals;

constexpr int kJobs = 6;

std::string
JobName(int aIndex)
{
  return "00000000000000b" + std::to_string(aIndex);
}

/// Number of pending jobs that a daemon shows.
std::uint64_t
PendingAt(SimulatedDeployment& aDeployment, const std::string& aDaemon)
{
  const auto response = aDeployment.SendAndWait(aDaemon, CountPending{});
  const auto* pending =
    response ? std::get_if<PendingJobsReported>(&*response) : nullptr;
  return pending == nullptr ? 0 : pending->jobs_;
}

// Guards against jobs that are no longer counted as pending after a change of
// the owner: their starts were stored, but reached no worker.
TEST(PendingJobs, AreCountedAfterAChangeOfTheOwner)
{
  SimulatedDeployment deployment{ 91, { 3, 4, 2 } };
  deployment.RunFor(kStartUpTime);
  for (std::size_t index = 0; index < deployment.Workers(); ++index) {
    deployment.WorkerAt(index).faults_.isUnreachable_ = true;
  }
  for (int index = 0; index < kJobs; ++index) {
    deployment.Submit(JobName(index), MakeJob(1, 1, 300ms));
  }
  deployment.RunFor(1s);
  deployment.Kill(deployment.Owner());
  deployment.RunFor(5s);
  for (const std::string& daemon : deployment.Running()) {
    EXPECT_EQ(PendingAt(deployment, daemon), kJobs) << daemon;
  }
  ExpectNoViolations(deployment);
}

// Guards against a job that counts as pending after a change of the owner
// though a task of it has ended.
TEST(PendingJobs, DoNotIncludeThoseThatHaveBegunBeforeAChangeOfTheOwner)
{
  SimulatedDeployment deployment{ 92, { 3, 4, 2 } };
  deployment.RunFor(kStartUpTime);
  deployment.Submit(JobName(0), MakeJob(1, 2, 2s));
  deployment.RunFor(3s);
  deployment.Kill(deployment.Owner());
  deployment.RunFor(5s);
  for (const std::string& daemon : deployment.Running()) {
    EXPECT_EQ(PendingAt(deployment, daemon), 0U) << daemon;
  }
  ExpectNoViolations(deployment);
}

} // namespace
} // namespace verbenawell::jobs
