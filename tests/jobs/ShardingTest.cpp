#include "verbenawell/jobs/sharding/Shards.h"

#include "ExpectNoViolations.h"

#include <algorithm>
#include <array>
#include <set>

#include <gtest/gtest.h>

namespace verbenawell::jobs {
namespace {

using namespace std::chrono_literals;

constexpr int kShards = 3;
constexpr SimulatedDeployment::Size kSize{ 5, 18, 2, 0, 0, kShards };
// Time for the claims at the start, and for those that spread the shards.
constexpr Duration kSettlingTime = 12s;

std::string
JobName(int aIndex)
{
  return std::to_string(1'000'000'000'000'000 + aIndex);
}

std::set<std::string>
Owners(const SimulatedDeployment& aDeployment)
{
  std::set<std::string> owners;
  for (std::uint32_t shard = 0; shard < kShards; ++shard) {
    owners.insert(aDeployment.Owner(ShardIndex{ shard }));
  }
  owners.erase(std::string{});
  return owners;
}

// Guards against jobs that are lost between shards, and against daemons that
// look for a job at the owner of another shard.
TEST(Sharding, FindsAndRunsJobsOfAllShardsAtEachDaemon)
{
  SimulatedDeployment deployment{ 1, kSize };
  deployment.RunFor(kSettlingTime);
  constexpr int kJobs = 8;
  for (int index = 0; index < kJobs; ++index) {
    deployment.Submit(JobName(index), MakeJob(3, 2, 500ms));
  }
  deployment.RunFor(15s);
  for (int index = 0; index < kJobs; ++index) {
    for (const std::string& daemon : deployment.Running()) {
      const auto response =
        deployment.SendAndWait(daemon, ReadJob{ JobId{ JobName(index) } });
      ASSERT_TRUE(response &&
                  std::holds_alternative<JobStateReported>(*response))
        << index << " at " << daemon;
      EXPECT_EQ(std::get<JobStateReported>(*response).state_,
                JobState::Completed);
    }
  }
  ExpectNoViolations(deployment);
}

// Guards against a single VM that carries all shards while others own none,
// also after the loss of an owner.
TEST(Sharding, SpreadsTheShardsOverDaemons)
{
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    SimulatedDeployment deployment{ seed, kSize };
    deployment.RunFor(kSettlingTime);
    ASSERT_EQ(Owners(deployment).size(), kShards) << "seed " << seed;
    const std::string lost = deployment.Owner(ShardIndex{ 1 });
    deployment.Kill(lost);
    deployment.RunFor(kSettlingTime);
    EXPECT_EQ(Owners(deployment).size(), kShards) << "seed " << seed;
    EXPECT_FALSE(Owners(deployment).contains(lost)) << "seed " << seed;
  }
}

// Guards against shards that stay with the only daemon that was up for a while.
TEST(Sharding, MovesShardsToDaemonsThatComeBack)
{
  SimulatedDeployment deployment{ 3, kSize };
  for (const char* daemon : { "d1", "d2", "d3", "d4" }) {
    deployment.Kill(daemon);
  }
  deployment.RunFor(kSettlingTime);
  EXPECT_EQ(Owners(deployment), std::set<std::string>{ "d0" });
  for (const char* daemon : { "d1", "d2", "d3", "d4" }) {
    deployment.Start(daemon);
  }
  deployment.RunFor(kSettlingTime);
  EXPECT_EQ(Owners(deployment).size(), kShards);
}

// Guards against a count of pending jobs that covers one shard only.
TEST(Sharding, CountsThePendingJobsOfAllShards)
{
  SimulatedDeployment deployment{ 4, kSize };
  deployment.RunFor(kSettlingTime);
  JobDefinition job = MakeJob(1, 1, 1s);
  job.steps_[0].requiredLabel_ = "on no worker";
  constexpr int kJobs = 20;
  for (int index = 0; index < kJobs; ++index) {
    deployment.Submit(JobName(index), job);
  }
  deployment.RunFor(3s);
  for (const std::string& daemon : deployment.Running()) {
    const auto response = deployment.SendAndWait(daemon, CountPending{});
    ASSERT_TRUE(response &&
                std::holds_alternative<PendingJobsReported>(*response))
      << daemon;
    EXPECT_EQ(std::get<PendingJobsReported>(*response).jobs_, kJobs) << daemon;
  }
}

class ShardedWave : public testing::TestWithParam<int>
{};

// Guards against shards that together take down more VMs of a wave than it
// permits (LIMIT), and against a status that ignores the other shards (MIXED).
TEST_P(ShardedWave, KeepsTheLimitOfTheWave)
{
  SimulatedDeployment deployment{ 5, kSize };
  deployment.RunFor(kSettlingTime);
  deployment.BeginWave(GetParam());
  deployment.RunFor(1s);
  EXPECT_FALSE(deployment.store_.waveStatus_.at(WaveNumber{ 1 }));
  deployment.RunFor(90s);
  EXPECT_EQ(deployment.maintenanceBegun_.size(), kSize.workers_);
  EXPECT_TRUE(deployment.store_.waveStatus_.at(WaveNumber{ 1 }));
  ExpectNoViolations(deployment);
}

INSTANTIATE_TEST_SUITE_P(Limits, ShardedWave, testing::Values(1, 2, 3, 5));

// Guards against a wave that stands still, or whose limit is exceeded, when an
// owner is lost in the middle of it.
TEST(Sharding, CompletesAWaveDespiteTheLossOfOwners)
{
  for (std::uint64_t seed = 1; seed <= 10; ++seed) {
    SimulatedDeployment deployment{ seed, kSize };
    deployment.RunFor(kSettlingTime);
    deployment.BeginWave(2);
    for (const std::uint32_t shard : { 0U, 2U, 1U }) {
      deployment.RunFor(4s);
      const std::string lost = deployment.Owner(ShardIndex{ shard });
      deployment.Kill(lost);
      deployment.RunFor(4s);
      deployment.Start(lost);
    }
    deployment.RunFor(90s);
    EXPECT_TRUE(deployment.store_.waveStatus_.at(WaveNumber{ 1 }))
      << "seed " << seed;
    ExpectNoViolations(deployment);
  }
}

// Guards against daemons that disagree about the number of shards: the same job
// would be accepted twice. A smaller fleet must not change it later.
TEST(Sharding, PublishesTheNumberOfShardsOnce)
{
  SimulatedDeployment deployment{ 6, { 4, 520, 10, 0, 0, 0 } };
  deployment.RunFor(4s);
  const auto expectTwoShards = [&] {
    for (const std::string& daemon : deployment.Running()) {
      EXPECT_EQ(deployment.ShardsOf(daemon), ShardCount{ 2 }) << daemon;
    }
  };
  expectTwoShards();
  for (std::size_t index = 0; index < 400; ++index) {
    deployment.RemoveVm(index);
  }
  for (const char* daemon : { "d0", "d1", "d2", "d3" }) {
    deployment.Kill(daemon);
  }
  for (const char* daemon : { "d0", "d1", "d2", "d3" }) {
    deployment.Start(daemon);
  }
  deployment.RunFor(4s);
  expectTwoShards();
}

/// A daemon that owns the first shard and has read its journal.
DaemonState
StateOfFirstOwner()
{
  DaemonState state;
  state.shards_.front().ownership_.self_.shards_ = ShardCount{};
  state.shards_.front().ownership_.role_ =
    Owning{ Epoch{ 1 }, TimePoint{}, TimePoint{}, false };
  state.shards_.front().journal_.phase_ = JournalReady{};
  state.shards_.front().workers_.isActive_ = true;
  return state;
}

Context
At(Duration aTime)
{
  return { TimePoint{ aTime }, {}, DaemonId{ "d0" } };
}

VmsRead
ManyVms()
{
  VmsRead read;
  for (int index = 0; index < 1100; ++index) {
    read.vms_.push_back({ VmId{ "vm" + std::to_string(index) },
                          kService,
                          VmState::Up,
                          WorkerId{ "worker" + std::to_string(index) } });
  }
  return read;
}

// Guards against jobs of an earlier version that no daemon finds any more,
// because their ids belong to other shards.
TEST(Sharding, KeepsOneShardForAJournalWithJobs)
{
  DaemonState state = StateOfFirstOwner();
  state.shards_.front().tasks_.jobs_.emplace(JobId{ "a" }, Job{});
  ReduceShards(state, { {}, ManyVms() }, At(1s));
  EXPECT_EQ(state.shards_.front().ownership_.self_.shards_, ShardCount{ 1 });
}

// Guards against daemons that reject all requests during an upgrade, while the
// owner is of a version without shards.
TEST(Sharding, TakesADeploymentOfAnEarlierVersionForOneShard)
{
  DaemonState state;
  state.shards_.front().ownership_.self_.shards_ = ShardCount{};
  OwnerRecord record;
  record.daemon_ = DaemonId{ "earlier" };
  ReduceShards(
    state, { {}, OwnerRead{ record, Offset{ 1 }, Offset{ 0 } } }, At(1s));
  EXPECT_EQ(state.count_, ShardCount{ 1 });
}

// Guards against workers that get the epoch of the first shard and then refuse
// the owner of their own shard.
TEST(Sharding, SendsNoCommandToWorkersBeforeTheNumberIsKnown)
{
  DaemonState state = StateOfFirstOwner();
  WorkerEntry entry;
  entry.worker_ = WorkerId{ "worker1" };
  const auto effects =
    ReduceShards(state, { {}, WorkersRead{ { entry } } }, At(1s));
  EXPECT_TRUE(std::ranges::none_of(effects, [](const ShardEffect& aEffect) {
    const auto* timer = std::get_if<SetTimer>(&aEffect.effect_);
    return std::holds_alternative<RenewLease>(aEffect.effect_) ||
           (timer != nullptr &&
            std::holds_alternative<LeaseRenewal>(timer->key_));
  }));
  EXPECT_TRUE(state.shards_.front().workers_.workers_.empty());
}

// Guards against a stopping daemon that ends while a request to one of its
// shards is open (LOST), and against one that never ends.
TEST(Sharding, ExitsOnceNoShardHasAnOpenRequest)
{
  DaemonState state;
  state.count_ = ShardCount{ 2 };
  state.shards_.resize(2);
  const auto exits = [&](std::uint32_t aShard, Duration aAt) {
    const auto effects = ReduceShards(
      state, { ShardIndex{ aShard }, TimerDue{ ExitTick{} } }, At(aAt));
    return std::ranges::any_of(effects, [](const ShardEffect& aEffect) {
      return std::holds_alternative<Exit>(aEffect.effect_);
    });
  };
  ReduceShards(state, { {}, StopRequested{} }, At(1s));
  auto& open = state.shards_.back().callers_.open_;
  open[RequestKey{ 1 }] = OpenRequest{};
  EXPECT_FALSE(exits(0, 4s));
  EXPECT_FALSE(exits(1, 4s));
  open.clear();
  state.shards_.front().callers_.open_[RequestKey{ 2 }] = OpenRequest{};
  EXPECT_FALSE(exits(1, 4100ms));
  state.shards_.front().callers_.open_.clear();
  EXPECT_TRUE(exits(0, 4200ms));
}

// Guards against shards of which one has most of the VMs or most of the jobs.
TEST(Sharding, DividesVmsAndJobsEvenly)
{
  const ShardCount count = ShardCountFor(1100);
  ASSERT_EQ(count, ShardCount{ 4 });
  std::array<int, 4> vms{};
  std::array<int, 4> jobs{};
  for (int index = 0; index < 1100; ++index) {
    ++vms.at(ShardOf(VmId{ "m-" + std::to_string(index) }, count).Value());
    ++jobs.at(ShardOf(JobId{ JobName(index) }, count).Value());
  }
  for (std::size_t shard = 0; shard < 4; ++shard) {
    EXPECT_NEAR(vms.at(shard), 275, 55);
    EXPECT_NEAR(jobs.at(shard), 275, 55);
  }
}

} // namespace
} // namespace verbenawell::jobs
