#include "ExpectNoViolations.h"

#include <gtest/gtest.h>

namespace verbenawell::jobs {
namespace {

using namespace std::chrono_literals;

const std::string kJob = "0000000000000001";

// Guards against jobs that never start because the owner does not ask the
// advice service for their tickets.
TEST(Advice, StartsTasksOnlyOnWorkersThatItAllows)
{
  SimulatedDeployment deployment{ 31, { 3, 4, 2 } };
  deployment.RequireTickets();
  deployment.RunFor(kStartUpTime);
  deployment.Submit(kJob, MakeJob(3, 2, 500ms));
  deployment.RunFor(5s);
  EXPECT_EQ(deployment.StateOfJob(kJob), JobState::Completed);
  EXPECT_EQ(deployment.ticketRefusals_, 0);
  ExpectNoViolations(deployment);
}

// Guards against starts with an expired ticket. Tasks that wait for free
// capacity wait longer than their tickets are valid.
TEST(Advice, IsAskedAgainWhenATicketHasExpired)
{
  SimulatedDeployment deployment{ 32, { 3, 4, 2 } };
  deployment.RequireTickets();
  deployment.RunFor(kStartUpTime);
  // The advice service allows two of the four workers, and each of them has
  // capacity for four of these tasks.
  deployment.Submit(kJob, MakeJob(20, 1, 2s));
  deployment.RunFor(12s);
  EXPECT_EQ(deployment.StateOfJob(kJob), JobState::Completed);
  EXPECT_EQ(deployment.ticketRefusals_, 0);
  ExpectNoViolations(deployment);
}

// Guards against starts without a ticket while the advice service rejects
// calls, and against jobs that are never asked about again once it recovers.
TEST(Advice, IsRetriedWhileTheServiceRejectsCalls)
{
  SimulatedDeployment deployment{ 33, { 3, 4, 2 } };
  deployment.RequireTickets();
  deployment.RunFor(kStartUpTime);
  deployment.advice_.isOverloaded_ = true;
  deployment.Submit(kJob, MakeJob(3, 1, 500ms));
  deployment.RunFor(3s);
  EXPECT_EQ(deployment.oracle_.Starts(), 0U);
  EXPECT_EQ(deployment.ticketRefusals_, 0);
  deployment.advice_.isOverloaded_ = false;
  deployment.RunFor(3s);
  EXPECT_EQ(deployment.StateOfJob(kJob), JobState::Completed);
  ExpectNoViolations(deployment);
}

// Guards against a new owner that starts tasks without tickets of its own. It
// does not know the tickets of its predecessor.
TEST(Advice, IsAskedAgainByANewOwner)
{
  SimulatedDeployment deployment{ 34, { 3, 4, 2 } };
  deployment.RequireTickets();
  deployment.RunFor(kStartUpTime);
  deployment.Submit(kJob, MakeJob(20, 1, 1s));
  deployment.RunFor(1s);
  deployment.Kill(deployment.Owner());
  deployment.RunFor(20s);
  EXPECT_EQ(deployment.StateOfJob(kJob), JobState::Completed);
  EXPECT_EQ(deployment.ticketRefusals_, 0);
  ExpectNoViolations(deployment);
}

// Guards against a step that no worker may run and that blocks the jobs queued
// behind it.
TEST(Advice, LetsOtherJobsPassAStepThatNoWorkerMayRun)
{
  SimulatedDeployment deployment{ 35, { 3, 4, 2 } };
  deployment.RequireTickets();
  deployment.RunFor(kStartUpTime);
  deployment.advice_.deniesAll_ = true;
  deployment.Submit(kJob, MakeJob(1, 1, 100ms));
  deployment.RunFor(1s);
  deployment.advice_.deniesAll_ = false;
  deployment.Submit("0000000000000002", MakeJob(3, 1, 500ms));
  deployment.RunFor(4s);
  EXPECT_EQ(deployment.StateOfJob("0000000000000002"), JobState::Completed);
  EXPECT_EQ(deployment.StateOfJob(kJob), JobState::Queued);
  ExpectNoViolations(deployment);
}

} // namespace
} // namespace verbenawell::jobs
