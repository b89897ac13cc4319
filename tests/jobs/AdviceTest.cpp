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
  Installation installation{ 31, { 3, 4, 2 } };
  installation.RequireTickets();
  installation.RunFor(kStartUp);
  installation.Submit(kJob, MakeJob(3, 2, 500ms));
  installation.RunFor(5s);
  EXPECT_EQ(installation.StateOfJob(kJob), JobState::Completed);
  EXPECT_EQ(installation.ticketRefusals_, 0);
  ExpectKept(installation);
}

// Guards against starts with an expired ticket. Tasks that wait for free
// capacity wait longer than their tickets are valid.
TEST(Advice, AsksAgainWhenATicketHasRunOut)
{
  Installation installation{ 32, { 3, 4, 2 } };
  installation.RequireTickets();
  installation.RunFor(kStartUp);
  // The advice service allows two of the four workers, and each of them has
  // capacity for four of these tasks.
  installation.Submit(kJob, MakeJob(20, 1, 2s));
  installation.RunFor(12s);
  EXPECT_EQ(installation.StateOfJob(kJob), JobState::Completed);
  EXPECT_EQ(installation.ticketRefusals_, 0);
  ExpectKept(installation);
}

// Guards against starts without a ticket while the advice service rejects
// calls, and against jobs that are never asked about again once it recovers.
TEST(Advice, WaitsForAServiceThatRefusesCalls)
{
  Installation installation{ 33, { 3, 4, 2 } };
  installation.RequireTickets();
  installation.RunFor(kStartUp);
  installation.advice_.isOverloaded_ = true;
  installation.Submit(kJob, MakeJob(3, 1, 500ms));
  installation.RunFor(3s);
  EXPECT_EQ(installation.oracle_.Starts(), 0U);
  EXPECT_EQ(installation.ticketRefusals_, 0);
  installation.advice_.isOverloaded_ = false;
  installation.RunFor(3s);
  EXPECT_EQ(installation.StateOfJob(kJob), JobState::Completed);
  ExpectKept(installation);
}

// Guards against a new owner that starts tasks without tickets of its own. It
// does not know the tickets of its predecessor.
TEST(Advice, IsAskedAgainByANewOwner)
{
  Installation installation{ 34, { 3, 4, 2 } };
  installation.RequireTickets();
  installation.RunFor(kStartUp);
  installation.Submit(kJob, MakeJob(20, 1, 1s));
  installation.RunFor(1s);
  installation.Kill(installation.Owner());
  installation.RunFor(20s);
  EXPECT_EQ(installation.StateOfJob(kJob), JobState::Completed);
  EXPECT_EQ(installation.ticketRefusals_, 0);
  ExpectKept(installation);
}

// Guards against a step that no worker may run and that blocks the jobs queued
// behind it.
TEST(Advice, LetsOtherJobsPassAStepThatMayRunNowhere)
{
  Installation installation{ 35, { 3, 4, 2 } };
  installation.RequireTickets();
  installation.RunFor(kStartUp);
  installation.advice_.deniesAll_ = true;
  installation.Submit(kJob, MakeJob(1, 1, 100ms));
  installation.RunFor(1s);
  installation.advice_.deniesAll_ = false;
  installation.Submit("0000000000000002", MakeJob(3, 1, 500ms));
  installation.RunFor(4s);
  EXPECT_EQ(installation.StateOfJob("0000000000000002"), JobState::Completed);
  EXPECT_EQ(installation.StateOfJob(kJob), JobState::Queued);
  ExpectKept(installation);
}

} // namespace
} // namespace verbenawell::jobs
