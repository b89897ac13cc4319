#include "verbenawell/tool/ExplainJob.h"

#include "ExpectNoViolations.h"

#include <sstream>

#include <gtest/gtest.h>

namespace verbenawell::jobs {
namespace {

using namespace std::chrono_literals;

const std::string kJob = "0000000000000001";

// Guards against a rejection whose log lines do not show that the pool was
// overloaded by the jobs ahead of it.
TEST(Explain, NamesTheOverloadThatRejectedAJob)
{
  SimulatedDeployment deployment{ 61, { 3, 2, 2 } };
  deployment.RunFor(kStartUpTime);
  for (int job = 10; job < 60; ++job) {
    deployment.Submit("00000000000000" + std::to_string(job),
                      MakeJob(20, 1, 2s));
  }
  deployment.RunFor(500ms);
  deployment.Submit(kJob, MakeJob(4, 1, 2s));
  deployment.RunFor(500ms);
  EXPECT_EQ(Explain(JobId{ kJob }, deployment.log_).cause_,
            "refused: the work ahead of it was too much for its pool");
}

// Guards against a delayed job whose log lines do not name the lost worker.
TEST(Explain, NamesTheWorkerWhoseRunsWereLost)
{
  SimulatedDeployment deployment{ 62, { 3, 4, 2 } };
  deployment.RunFor(kStartUpTime);
  deployment.Submit(kJob, MakeJob(8, 1, 2s));
  deployment.RunFor(1s);
  const std::string worker = deployment.WorkerAt(0).Entry().worker_.Value();
  deployment.KillWorker(0);
  deployment.RunFor(25s);
  const std::string cause = Explain(JobId{ kJob }, deployment.log_).cause_;
  EXPECT_EQ(cause.substr(0, 9), "delayed: ") << cause;
  EXPECT_NE(cause.find(worker), std::string::npos) << cause;
}

// Guards against an unknown outcome whose log lines do not name the takeover
// from the lost owner.
TEST(Explain, NamesTheTakeoverThatLeftAnOutcomeUnknown)
{
  SimulatedDeployment deployment{ 63, { 3, 4, 2 } };
  deployment.RunFor(kStartUpTime);
  const std::string owner = deployment.Owner();
  deployment.Freeze(owner, 10s);
  for (const std::string& daemon : deployment.Running()) {
    if (daemon != owner) {
      // The time limit is shorter than a takeover, so that no successor gets
      // the request in time.
      deployment.SubmitAt(daemon, kJob, MakeJob(2, 1, 500ms), 1s);
      break;
    }
  }
  deployment.RunFor(4s);
  const std::string cause = Explain(JobId{ kJob }, deployment.log_).cause_;
  EXPECT_EQ(cause.substr(0, 9), "unknown: ") << cause;
  EXPECT_NE(cause.find("took over from a lost owner"), std::string::npos)
    << cause;
}

// Guards against a job whose log lines do not tell that another shard has it.
TEST(Explain, NamesTheShardThatAJobWasHandedOverTo)
{
  const LoggedEvent accepted{
    {}, "d0", "job_accepted", { { "job", kJob }, { "queue", "q" } }
  };
  const LoggedEvent handedOver{
    {}, "d0", "job_handed_over", { { "job", kJob }, { "to_shard", "2" } }
  };
  EXPECT_EQ(Explain(JobId{ kJob }, { accepted, handedOver }).cause_,
            "handed over to shard 2 and not ended there");
}

// Guards against a reader that stops at a line of another program or at a
// truncated line.
TEST(Explain, SkipsLinesThatAreNotLogLines)
{
  std::istringstream log(
    "started\n"
    "{\"time_ms\":1,\"daemon\":\"d\",\"event\":\"job_acc\n"
    " 3.2 d {\"time_ms\":2,\"daemon\":\"d\",\"event\":\"job_ended\","
    "\"job\":\"0000000000000001\",\"outcome\":\"completed\",\"age_ms\":\"7\"}"
    "\n");
  std::ostringstream output;
  EXPECT_TRUE(ExplainJob(kJob, log, output));
  EXPECT_NE(output.str().find("cause: completed after 7 ms"),
            std::string::npos);
  EXPECT_NE(output.str().find("no log lines: 2"), std::string::npos);
}

} // namespace
} // namespace verbenawell::jobs
