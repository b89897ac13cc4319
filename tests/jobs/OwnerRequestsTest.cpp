#include "ExpectNoViolations.h"

#include <memory>
#include <string>
#include <variant>

#include <gtest/gtest.h>

namespace verbenawell::jobs {
namespace {

using namespace std::chrono_literals;

// Guards against a response "job unknown" to a read or a cancel from an owner
// that was replaced without noticing, while its successor runs the job.
TEST(JobManager, CallsNoJobUnknownWhileItsOwnershipIsNotConfirmed)
{
  Installation installation{ 21, {} };
  installation.RunFor(kStartUp);
  const std::string owner = installation.Owner();
  installation.store_.faults_.cutOff_.insert(DaemonId{ owner });
  installation.RunFor(2500ms);
  const JobId job{ "0000000000000001" };
  for (const CallerAction& action :
       { CallerAction{ ReadJob{ job } }, CallerAction{ CancelJob{ job } } }) {
    const auto answer = installation.AskOnce(owner, action);
    EXPECT_FALSE(answer && std::holds_alternative<JobUnknown>(*answer));
  }
}

// Guards against requests to an owner that was replaced. They ended with an
// unknown outcome although the next owner could have responded.
TEST(JobManager, SendsOpenRequestsToTheNextOwner)
{
  Installation installation{ 24, {} };
  installation.RunFor(kStartUp);
  const std::string owner = installation.Owner();
  installation.Submit("0000000000000001", MakeJob(2, 1, 20s));
  installation.RunFor(1s);
  installation.Freeze(owner, 10s);
  installation.RunFor(1s);
  for (const std::string& daemon : installation.Running()) {
    if (daemon != owner) {
      const auto answer =
        installation.AskOnce(daemon, ReadJob{ JobId{ "0000000000000001" } });
      ASSERT_TRUE(answer);
      EXPECT_TRUE(std::holds_alternative<JobShown>(*answer));
      break;
    }
  }
  ExpectKept(installation);
}

// Guards against a submission that is sent to two owners. The rejection by one
// could arrive before the acceptance by the other, and a rejected job would
// run.
TEST(JobManager, LeavesASubmissionWithTheOwnerThatHasIt)
{
  Installation installation{ 25, {} };
  installation.RunFor(kStartUp);
  const std::string owner = installation.Owner();
  installation.Freeze(owner, 10s);
  for (const std::string& daemon : installation.Running()) {
    if (daemon != owner) {
      const auto definition =
        std::make_shared<const JobDefinition>(MakeJob(2, 1, 1s));
      const auto answer = installation.AskOnce(
        daemon, SubmitJob{ JobId{ "0000000000000001" }, definition });
      ASSERT_TRUE(answer);
      EXPECT_TRUE(std::holds_alternative<OutcomeUnknown>(*answer));
      break;
    }
  }
}

} // namespace
} // namespace verbenawell::jobs
