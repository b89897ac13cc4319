#include "verbenawell/jobs/callers/CallerRequest.h"

#include "ExpectNoViolations.h"

#include <string>
#include <variant>

#include <gtest/gtest.h>

namespace verbenawell::jobs {
namespace {

using namespace std::chrono_literals;

const std::string kJob = "0000000000000001";

/// Has one worker. The owner has stored the start of a task that runs until its
/// job is cancelled, and the worker has not received the start command yet.
class FormerOwner : public testing::Test
{
protected:
  FormerOwner()
  {
    JobDefinition job = MakeJob(1, 1, 1s);
    job.steps_[0].longRunning_ = true;
    deployment_.RunFor(kStartUpTime);
    owner_ = deployment_.Owner();
    RunUntilRenewal();
    Worker().faults_.isUnreachable_ = true;
    deployment_.SubmitAt(owner_, kJob, job, 3s);
    RunUntil([this] { return Run() != nullptr; });
  }

  FakeWorker& Worker() { return deployment_.WorkerAt(0); }

  /// The run of the task as the first owner knows it.
  const Assignment* Run()
  {
    const auto* worker =
      deployment_.StateOf(owner_).workers_.Find(Worker().Entry().worker_);
    return worker == nullptr || worker->runs_.empty()
             ? nullptr
             : &worker->runs_.begin()->second;
  }

  /// From now on only the first owner reaches the worker.
  void ReachWorkerFromFirstOwnerOnly()
  {
    for (const std::string& daemon : deployment_.Running()) {
      if (daemon != owner_) {
        deployment_.lossyLinks_[{ daemon, Worker().Entry().worker_ }] =
          LinkLoss::Calls;
      }
    }
    Worker().faults_.isUnreachable_ = false;
  }

  /// Cancels the job at the successor as soon as there is one, and returns when
  /// the cancel has a response.
  void CancelAtSuccessor()
  {
    std::string successor;
    RunUntil([&] {
      for (const std::string& daemon : deployment_.Running()) {
        if (daemon != owner_ &&
            deployment_.StateOf(daemon).journal_.IsReady()) {
          successor = daemon;
        }
      }
      return !successor.empty();
    });
    ASSERT_FALSE(successor.empty());
    const auto response =
      deployment_.SendAndWait(successor, CancelJob{ JobId{ kJob } });
    ASSERT_TRUE(response);
    EXPECT_TRUE(std::holds_alternative<CancelAccepted>(*response));
  }

  SimulatedDeployment deployment_{ 81, { 3, 1, 1 } };
  std::string owner_;

private:
  /// Runs in steps of 1 ms until the condition holds, for 5 s at most.
  template<typename Condition>
  void RunUntil(Condition aCondition)
  {
    const TimePoint end = deployment_.time_.Now() + 5s;
    while (!aCondition() && deployment_.time_.Now() < end) {
      deployment_.RunFor(1ms);
    }
  }

  void RunUntilRenewal()
  {
    const auto renewedAt = [this] {
      return deployment_.StateOf(owner_).ownership_.AsOwner()->renewalSentAt_;
    };
    const TimePoint before = renewedAt();
    RunUntil([&] { return renewedAt() != before; });
  }
};

// Guards against a task that starts after its job was cancelled. An owner that
// was cut off from the store repeated its start command until its lease ended.
TEST_F(FormerOwner, DoesNotRepeatAStartAfterItsSuccessorAcceptsTheCancel)
{
  deployment_.RunFor(10ms);
  ASSERT_TRUE(Run()->isStored_);
  deployment_.store_.faults_.unreachableFrom_.insert(DaemonId{ owner_ });
  CancelAtSuccessor();
  ReachWorkerFromFirstOwnerOnly();
  deployment_.RunFor(5s);
  EXPECT_EQ(deployment_.oracle_.Starts(), 0U);
}

// Guards against a task that starts after its job was cancelled. A frozen owner
// sent its start command when it continued, since the store had confirmed the
// start before.
TEST_F(FormerOwner, DoesNotSendAStartThatWasStoredWhileItWasFrozen)
{
  ASSERT_FALSE(Run()->isStored_);
  deployment_.Freeze(owner_, 6500ms);
  ReachWorkerFromFirstOwnerOnly();
  CancelAtSuccessor();
  deployment_.RunFor(5s);
  EXPECT_EQ(deployment_.oracle_.Starts(), 0U);
}

// Guards against a start that is never repeated after an outage of the store,
// and against leases that expire during the outage.
TEST_F(FormerOwner, RepeatsAStartOnceTheStoreIsBack)
{
  deployment_.RunFor(10ms);
  ASSERT_TRUE(Run()->isStored_);
  deployment_.store_.faults_.isDown_ = true;
  deployment_.RunFor(3s);
  Worker().faults_.isUnreachable_ = false;
  deployment_.RunFor(2s);
  deployment_.store_.faults_.isDown_ = false;
  deployment_.RunFor(2s);
  EXPECT_EQ(Worker().Running().size(), 1U);
  ExpectNoViolations(deployment_);
}

} // namespace
} // namespace verbenawell::jobs
