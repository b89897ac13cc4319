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
TEST(JobManager, DoesNotCallAJobUnknownWhileItsOwnershipIsNotConfirmed)
{
  SimulatedDeployment deployment{ 21, {} };
  deployment.RunFor(kStartUpTime);
  const std::string owner = deployment.Owner();
  deployment.store_.faults_.unreachableFrom_.insert(DaemonId{ owner });
  deployment.RunFor(2500ms);
  const JobId job{ "0000000000000001" };
  for (const CallerAction& action :
       { CallerAction{ ReadJob{ job } }, CallerAction{ CancelJob{ job } } }) {
    const auto response = deployment.SendAndWait(owner, action);
    EXPECT_FALSE(response && std::holds_alternative<JobUnknown>(*response));
  }
}

// Guards against requests to an owner that was replaced. They ended with an
// unknown outcome although the next owner could have responded.
TEST(JobManager, SendsOpenRequestsToTheNextOwner)
{
  SimulatedDeployment deployment{ 24, {} };
  deployment.RunFor(kStartUpTime);
  const std::string owner = deployment.Owner();
  deployment.Submit("0000000000000001", MakeJob(2, 1, 20s));
  deployment.RunFor(1s);
  deployment.Freeze(owner, 10s);
  deployment.RunFor(1s);
  for (const std::string& daemon : deployment.Running()) {
    if (daemon != owner) {
      const auto response =
        deployment.SendAndWait(daemon, ReadJob{ JobId{ "0000000000000001" } });
      ASSERT_TRUE(response);
      EXPECT_TRUE(std::holds_alternative<JobStateReported>(*response));
      break;
    }
  }
  ExpectNoViolations(deployment);
}

// Guards against a submission that is sent to two owners. The rejection by one
// could arrive before the acceptance by the other, and a rejected job would
// run.
TEST(JobManager, SendsASubmissionToOneOwnerOnly)
{
  SimulatedDeployment deployment{ 25, {} };
  deployment.RunFor(kStartUpTime);
  const std::string owner = deployment.Owner();
  deployment.Freeze(owner, 10s);
  for (const std::string& daemon : deployment.Running()) {
    if (daemon != owner) {
      const auto definition =
        std::make_shared<const JobDefinition>(MakeJob(2, 1, 1s));
      const auto response = deployment.SendAndWait(
        daemon, SubmitJob{ JobId{ "0000000000000001" }, definition });
      ASSERT_TRUE(response);
      EXPECT_TRUE(std::holds_alternative<OutcomeUnknown>(*response));
      break;
    }
  }
}

} // namespace
} // namespace verbenawell::jobs
