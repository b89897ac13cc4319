#include "ExpectNoViolations.h"

#include <set>
#include <string>

#include <gtest/gtest.h>

namespace verbenawell::jobs {
namespace {

using namespace std::chrono_literals;

constexpr int kWorkersPerRack = 2;
// A job starts at most this long after there is room for it twice.
constexpr Duration kMaxWait = 3s;
const std::string kGang = "00000000000000e0";

RackId
Rack(int aIndex)
{
  return RackId{ "r" + std::to_string(aIndex) };
}

/// Has racks of two workers, each of which a member of the gang takes whole.
/// The members run longer on more than one rack.
class GangRack : public testing::Test
{
protected:
  explicit GangRack(int aRacks = 4)
    : deployment_{ 81, { 3, aRacks * kWorkersPerRack, kWorkersPerRack } }
  {
    deployment_.RunFor(kStartUpTime);
  }

  /// Lets a small task run on a worker of the rack.
  void SubmitSmallTask(int aRack, Duration aRunTime)
  {
    JobDefinition job = MakeJob(1, 1, aRunTime);
    job.steps_[0].preferredRack_ = Rack(aRack);
    deployment_.Submit("00000000000000f" + std::to_string(aRack), job);
  }

  void SubmitGang()
  {
    JobDefinition job = MakeJob(kWorkersPerRack, 1, 2s);
    job.steps_[0].resources_.cpu_ = MilliCores{ 8000 };
    job.steps_[0].gang_ = true;
    job.steps_[0].sameRack_ = true;
    deployment_.Submit(kGang, job);
  }

  /// The racks on which members of the gang run.
  [[nodiscard]] std::set<RackId> RacksOfGang()
  {
    std::set<RackId> racks;
    for (std::size_t index = 0; index < deployment_.Workers(); ++index) {
      FakeWorker& worker = deployment_.WorkerAt(index);
      for (const TaskId& task : worker.Running()) {
        if (task.job_ == JobId{ kGang }) {
          racks.insert(worker.Entry().rack_);
        }
      }
    }
    return racks;
  }

  SimulatedDeployment deployment_;
};

class GangOnTwoRacks : public GangRack
{
protected:
  GangOnTwoRacks()
    : GangRack{ 2 }
  {
  }
};

// Guards against a gang that never starts because no rack has workers for all
// members, though other racks together have them.
TEST_F(GangRack, RunsOnSeveralRacksIfNoneCanHoldIt)
{
  for (std::size_t rack = 0; rack < 4; ++rack) {
    deployment_.KillWorker(rack * kWorkersPerRack);
  }
  deployment_.RunFor(15s);
  SubmitGang();
  deployment_.RunFor(kMaxWait);
  EXPECT_EQ(RacksOfGang().size(), 2U);
  deployment_.RunFor(kMaxWait);
  EXPECT_EQ(deployment_.StateOfJob(kGang), JobState::Completed);
  ExpectNoViolations(deployment_);
}

// Guards against the same while a task that takes long is on each rack.
TEST_F(GangRack, RunsOnSeveralRacksIfEachIsBusyForLong)
{
  for (int rack = 0; rack < 4; ++rack) {
    SubmitSmallTask(rack, 60s);
  }
  deployment_.RunFor(500ms);
  SubmitGang();
  deployment_.RunFor(kMaxWait);
  EXPECT_EQ(RacksOfGang().size(), 2U);
  ExpectNoViolations(deployment_);
}

// Guards against a gang that is spread over racks, where it takes much longer,
// though one of them has room.
TEST_F(GangRack, RunsOnOneRackThatHasRoom)
{
  for (int rack = 0; rack < 3; ++rack) {
    SubmitSmallTask(rack, 60s);
  }
  deployment_.RunFor(500ms);
  SubmitGang();
  deployment_.RunFor(500ms);
  EXPECT_EQ(RacksOfGang(), std::set{ Rack(3) });
  ExpectNoViolations(deployment_);
}

// Guards against a gang that takes more of a busy service than it needs, since
// it does not wait for a rack that is free soon.
TEST_F(GangOnTwoRacks, WaitsForARackWhileTheServiceIsBusy)
{
  SubmitSmallTask(0, 60s);
  SubmitSmallTask(1, 4s);
  deployment_.RunFor(500ms);
  SubmitGang();
  deployment_.RunFor(3s);
  EXPECT_TRUE(RacksOfGang().empty());
  deployment_.RunFor(1s);
  EXPECT_EQ(RacksOfGang(), std::set{ Rack(1) });
  ExpectNoViolations(deployment_);
}

} // namespace
} // namespace verbenawell::jobs
