#include "verbenawell/jobs/shares/FairBacklog.h"
#include "verbenawell/jobs/shares/WorkInQuotas.h"
#include "verbenawell/jobs/shares/WorkspaceShedding.h"

#include "SimulatedDeployment.h"

#include <gtest/gtest.h>

namespace verbenawell::jobs {
namespace {

using namespace std::chrono_literals;

constexpr std::uint64_t kSecond = 1'000'000;
const WorkspaceId kLarge{ "large" };
const WorkspaceId kSmall{ "small" };
const WorkspaceId kUnconfigured{ "unconfigured" };

Configuration
TwoWorkspaces()
{
  Configuration configuration;
  configuration.workspaces_ = { { kLarge, WorkspaceWeight{ 3 }, {} },
                                { kSmall, WorkspaceWeight{ 1 }, {} } };
  return configuration;
}

WorkspaceLoad
Backlog(std::uint64_t aCpuSeconds)
{
  return { {}, aCpuSeconds, 1 };
}

// Guards against a workspace that is refused because another one has filled the
// backlog: ahead of it lies what the other gets by its weight meanwhile.
TEST(FairBacklog, CountsOfOthersWhatTheirWeightAllows)
{
  const Configuration configuration = TwoWorkspaces();
  const WorkspaceLoads::ById loads{ { kLarge, Backlog(1000) },
                                    { kSmall, Backlog(10) } };
  const FairBacklog small =
    ComputeFairBacklog(kSmall, loads, 1010 * kSecond, configuration);
  EXPECT_EQ(small.cpuTimeAhead_, 40 * kSecond);
  EXPECT_FALSE(small.isBeyondShare_);
  const FairBacklog large =
    ComputeFairBacklog(kLarge, loads, 1010 * kSecond, configuration);
  EXPECT_EQ(large.cpuTimeAhead_, 1010 * kSecond);
  EXPECT_TRUE(large.isBeyondShare_);
}

// Guards against a job that is accepted into a backlog of others that have no
// share: it has to wait for all of it.
TEST(FairBacklog, CountsAllWorkForJobsWithoutAShare)
{
  const Configuration configuration = TwoWorkspaces();
  const WorkspaceLoads::ById loads{ { kLarge, Backlog(90) } };
  for (const WorkspaceId& workspace : { WorkspaceId{}, kUnconfigured }) {
    EXPECT_EQ(ComputeFairBacklog(workspace, loads, 100 * kSecond, configuration)
                .cpuTimeAhead_,
              100 * kSecond);
  }
  // 10 s of the work belong to no workspace.
  EXPECT_EQ(ComputeFairBacklog(kSmall, loads, 100 * kSecond, configuration)
              .cpuTimeAhead_,
            10 * kSecond);
}

/// Returns how many of a second's submissions are rejected, while all of them
/// are counted. Each workspace sends them evenly.
std::map<WorkspaceId, int>
Shed(const std::map<WorkspaceId, int>& aPerSecond, double aRejectedShare)
{
  WorkspaceShedding shedding;
  std::map<WorkspaceId, int> rejected;
  for (int ms = 0; ms < 6000; ++ms) {
    const TimePoint now = TimePoint{} + 1000s + ms * 1ms;
    if (ms % 200 == 0) {
      shedding.Divide(aRejectedShare, TwoWorkspaces(), now);
    }
    for (const auto& [id, rate] : aPerSecond) {
      if (ms % (1000 / rate) == 0) {
        shedding.Count(id, now);
        rejected[id] += shedding.RejectNext(id) && ms >= 5000 ? 1 : 0;
      }
    }
  }
  return rejected;
}

// Guards against an owner that rejects the submissions of all workspaces alike
// while one of them sends the flood that makes it late.
TEST(WorkspaceShedding, RejectsTheWorkspaceThatSendsTheMost)
{
  auto rejected = Shed({ { kLarge, 50 }, { kSmall, 100 } }, 0.4);
  EXPECT_EQ(rejected[kLarge], 0);
  EXPECT_NEAR(rejected[kSmall], 60, 3);
  // The large workspace sends twice its weight, and the small one its weight.
  rejected = Shed({ { kLarge, 200 }, { kSmall, 25 } }, 0.4);
  EXPECT_NEAR(rejected[kLarge], 90, 4);
  EXPECT_EQ(rejected[kSmall], 0);
}

// Guards against a share that is lost when all workspaces send alike, and
// against a workspace without a weight that keeps its submissions.
TEST(WorkspaceShedding, RejectsTheWholeShare)
{
  auto rejected = Shed({ { kLarge, 100 }, { kSmall, 100 } }, 0.9);
  EXPECT_NEAR(rejected[kLarge] + rejected[kSmall], 180, 4);
  EXPECT_LT(rejected[kLarge], rejected[kSmall]);
  rejected = Shed({ { kUnconfigured, 50 }, { kSmall, 50 } }, 0.5);
  EXPECT_NEAR(rejected[kUnconfigured], 50, 2);
  EXPECT_NEAR(rejected[kSmall], 0, 2);
  rejected = Shed({ { kSmall, 50 } }, 0);
  EXPECT_EQ(rejected[kSmall], 0);
}

Job
MakeBacklog(const ServiceId& aService, const WorkspaceId& aWorkspace)
{
  Job job;
  job.service_ = aService;
  job.workspace_ = aWorkspace;
  job.definition_ = MakeJob(10, 1, 1s);
  job.definition_.steps_[0].resources_ = { MilliCores{ 2000 },
                                           Megabytes{ 500 },
                                           {} };
  AddOccurrence(job);
  return job;
}

// Guards against VMs that are moved for a backlog which its workspace may not
// run: each resource of the quota bounds it, over all services together.
TEST(WorkInQuotas, CountsWorkUpToTheQuota)
{
  std::optional<Configuration> configuration = TwoWorkspaces();
  WorkInQuotas work;
  for (const ServiceId& service : { kService, kOtherService }) {
    work.Add(MakeBacklog(service, kLarge), 20'000 * kSecond);
    work.Add(MakeBacklog(service, {}), 7'000 * kSecond);
  }
  EXPECT_EQ(work.Within(2s, configuration).at(kService), 27'000 * kSecond);
  Resources& quota = configuration->workspaces_->front().quota_;
  quota.cpu_ = MilliCores{ 10'000 };
  EXPECT_EQ(work.Within(2s, configuration).at(kService), 17'000 * kSecond);
  // The tasks need 1 MB for each 4 millicores.
  quota.memory_ = Megabytes{ 1'250 };
  EXPECT_EQ(work.Within(2s, configuration).at(kService), 12'000 * kSecond);
  EXPECT_EQ(work.Within(2s, configuration).at(kOtherService), 12'000 * kSecond);
  EXPECT_EQ(work.Within(2s, std::nullopt).at(kService), 27'000 * kSecond);
}

} // namespace
} // namespace verbenawell::jobs
