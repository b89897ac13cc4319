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

// Guards against a lost cancel. The owner was replaced by a daemon on a larger
// VM, did not know that yet, and reported a job of its successor as unknown.
TEST(JobManager, DoesNotCallAJobOfALargerSuccessorUnknownToItsCanceller)
{
  SimulatedDeployment deployment{ 26, { 2, 1, 1 } };
  deployment.SetVmCpu("d0", MilliCores{ 120 });
  deployment.SetVmCpu("d1", MilliCores{ 500 });
  deployment.Kill("d1");
  deployment.Kill("d0");
  deployment.Start("d0");
  deployment.RunFor(kStartUpTime);
  ASSERT_EQ(deployment.Owner(), "d0");
  deployment.Start("d1");
  const auto isReady = [&] {
    return deployment.StateOf("d1").journal_.IsReady();
  };
  for (int waited = 0; waited < 6000 && !isReady(); ++waited) {
    deployment.RunFor(1ms);
  }
  ASSERT_TRUE(isReady());
  const JobId job{ "0000000000000001" };
  deployment.SubmitAt("d1", job.Value(), MakeJob(1, 1, 20s), 3s);
  deployment.RunFor(10ms);
  const Job* accepted = deployment.StateOf("d1").tasks_.Find(job);
  ASSERT_NE(accepted, nullptr);
  ASSERT_TRUE(accepted->stored_);
  const auto response = deployment.SendAndWait("d0", CancelJob{ job });
  ASSERT_TRUE(response);
  EXPECT_FALSE(std::holds_alternative<JobUnknown>(*response));
}

// Guards against a request to cancel that gets no response while its owner is
// replaced.
TEST(JobManager, RespondsToEveryCancelWhileTheOwnerIsReplaced)
{
  for (Duration offset = 0ms; offset <= 3s; offset += 100ms) {
    SimulatedDeployment deployment{ 27, {} };
    deployment.RunFor(kStartUpTime);
    const JobId job{ "0000000000000001" };
    deployment.Submit(job.Value(), MakeJob(2, 1, 20s));
    deployment.RunFor(1s);
    const std::string owner = deployment.Owner();
    const std::string other = owner == "d0" ? "d1" : "d0";
    deployment.store_.faults_.unreachableFrom_.insert(DaemonId{ owner });
    deployment.RunFor(offset);
    EXPECT_TRUE(deployment.SendAndWait(owner, CancelJob{ job }));
    EXPECT_TRUE(deployment.SendAndWait(other, CancelJob{ job }));
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
