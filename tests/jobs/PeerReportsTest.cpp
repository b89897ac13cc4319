#include "verbenawell/codec/jobs/PeerReportCodec.h"
#include "verbenawell/jobs/sharding/DaemonState.h"

#include "ExpectNoViolations.h"
#include "OneQueue.h"
#include "Workspaces.h"

#include <algorithm>
#include <string>
#include <variant>

#include <gtest/gtest.h>

namespace verbenawell::jobs {
namespace {

using namespace std::chrono_literals;

const std::string kJob = "0000000000000001";
const ApiKey kKept{ "kept key" };
const ApiKey kWithdrawn{ "withdrawn key" };
// A version has to be in use within 3 s, and within 6 s more while the store
// turns daemons away.
constexpr Duration kPropagationTime = 3s;
constexpr Duration kStretchedPropagationTime = 9s;

/// A deployment of which some daemons cannot read the store when a key is
/// withdrawn.
class WithdrawnKey : public testing::TestWithParam<bool>
{
protected:
  WithdrawnKey()
  {
    deployment_.RunFor(kStartUpTime);
    Configuration configuration = InUseAt("d0");
    configuration.queues_.front().isPublic_ = true;
    SetWorkspaces(configuration,
                  { { "first", kKept.Secret().c_str() },
                    { "other", kWithdrawn.Secret().c_str() } });
    configuration.version_ = ConfigurationVersion{ 10 };
    deployment_.store_.Put(configuration);
    deployment_.RunFor(1s);
  }

  const Configuration& InUseAt(const std::string& aDaemon)
  {
    return *deployment_.StateOf(aDaemon).configuration_.configuration_;
  }

  void TurnAway(const std::string& aDaemon)
  {
    auto& faults = deployment_.store_.faults_;
    (GetParam() ? faults.refusedFrom_ : faults.unreachableFrom_)
      .insert(DaemonId{ aDaemon });
  }

  void Withdraw()
  {
    Configuration configuration = InUseAt("d0");
    SetWorkspaces(configuration, { { "first", kKept.Secret().c_str() } });
    configuration.version_ = ConfigurationVersion{ 14 };
    deployment_.store_.Put(configuration);
  }

  void ExpectWithdrawnAt(const std::string& aDaemon)
  {
    const Configuration& configuration = InUseAt(aDaemon);
    EXPECT_EQ(configuration.version_, ConfigurationVersion{ 14 }) << aDaemon;
    EXPECT_EQ(configuration.keys_->Find(kWithdrawn), nullptr) << aDaemon;
    EXPECT_NE(configuration.keys_->Find(kKept), nullptr) << aDaemon;
  }

  std::string Follower() { return deployment_.Owner() == "d0" ? "d1" : "d0"; }

  SimulatedDeployment deployment_{ 7, { .daemons_ = 4 } };
};

// Guards against a key that is still accepted by a daemon that the store turns
// away (CONFIG).
TEST_P(WithdrawnKey, IsRefusedByADaemonThatCannotReadTheStore)
{
  const std::string daemon = Follower();
  TurnAway(daemon);
  Withdraw();
  deployment_.RunFor(kPropagationTime);
  ExpectWithdrawnAt(daemon);
}

// Guards against the same while the owner is turned away too, so that its
// followers learn the version only through it.
TEST_P(WithdrawnKey, IsRefusedByAnOwnerThatCannotReadTheStore)
{
  const std::string owner = deployment_.Owner();
  for (const std::string& daemon : deployment_.Running()) {
    deployment_.ReadAt(daemon, kJob);
  }
  deployment_.RunFor(1s);
  const std::string follower = Follower();
  TurnAway(owner);
  TurnAway(follower);
  Withdraw();
  deployment_.RunFor(kStretchedPropagationTime);
  ExpectWithdrawnAt(owner);
  ExpectWithdrawnAt(follower);
}

// Guards against a process that starts again while the store turns it away and
// uses an older version than before (CONFIG).
TEST_P(WithdrawnKey, IsNotAcceptedAfterARestart)
{
  Withdraw();
  deployment_.RunFor(1s);
  const std::string daemon = Follower();
  TurnAway(daemon);
  deployment_.Kill(daemon);
  deployment_.Start(daemon);
  deployment_.RunFor(kPropagationTime);
  EXPECT_FALSE(deployment_.StateOf(daemon).configuration_.configuration_);
  deployment_.store_.faults_ = {};
  deployment_.RunFor(kPropagationTime);
  ExpectWithdrawnAt(daemon);
}

// Guards against submissions that a daemon rejects because the store turns it
// away, although other daemons know the owner and that it is alive.
TEST_P(WithdrawnKey, DoesNotKeepADaemonFromForwardingSubmissions)
{
  const std::string daemon = Follower();
  TurnAway(daemon);
  deployment_.RunFor(5s);
  const auto response = deployment_.SendAndWait(
    daemon,
    SubmitJob{ JobId{ kJob },
               std::make_shared<const JobDefinition>(MakeJob(1, 1, 1s)) });
  ASSERT_TRUE(response);
  EXPECT_TRUE(std::holds_alternative<JobAccepted>(*response));
}

INSTANTIATE_TEST_SUITE_P(RefusedOrWithoutResponse,
                         WithdrawnKey,
                         testing::Bool());

/// Applies an event to a daemon and returns its effects.
std::vector<ShardEffect>
Reduce(DaemonState& aState, const Event& aEvent, Duration aAt)
{
  return ReduceShards(
    aState, { {}, aEvent }, { TimePoint{} + aAt, {}, DaemonId{ "d0" } });
}

template<typename Kind>
std::ptrdiff_t
CountOf(const std::vector<ShardEffect>& aEffects)
{
  return std::ranges::count_if(aEffects, [](const ShardEffect& aEffect) {
    return std::holds_alternative<Kind>(aEffect.effect_);
  });
}

Configuration
WithWorkspaces(std::int64_t aVersion)
{
  Configuration configuration = ConfigurationWithOneQueue();
  configuration.version_ = ConfigurationVersion{ aVersion };
  configuration.queues_.front().stretch_ = 1.75;
  configuration.queues_.front().advice_ = AdviceSettings{ 20ms, 2ms, 1500ms };
  configuration.services_.push_back({ kService, true, false });
  SetWorkspaces(configuration, { { "first", kKept.Secret().c_str() } });
  return configuration;
}

PeerReport
ReportOf(std::int64_t aVersion)
{
  PeerReport report;
  report.configuration_ = WithWorkspaces(aVersion);
  report.version_ = report.configuration_->version_;
  report.age_ = 250ms;
  return report;
}

// Guards against a version that goes back because a peer is behind (CONFIG).
TEST(PeerReports, ReplaceNoNewerVersion)
{
  DaemonState state;
  OperatorRecordsRead read;
  read.configuration_ = WithWorkspaces(5);
  Reduce(state, read, 1s);
  const auto& version = state.shards_.front().configuration_;
  Reduce(state, PeerReportReceived{ {}, ReportOf(4) }, 2s);
  EXPECT_EQ(version.configuration_->version_, ConfigurationVersion{ 5 });
  Reduce(state, PeerReportReceived{ {}, ReportOf(6) }, 3s);
  EXPECT_EQ(version.configuration_->version_, ConfigurationVersion{ 6 });
  EXPECT_EQ(version.newestAt_, TimePoint{} + 2750ms);
  Reduce(state, read, 4s);
  EXPECT_EQ(version.configuration_->version_, ConfigurationVersion{ 6 });
}

// Guards against peers that are asked by daemons which reach the store, and in
// deployments without workspaces.
TEST(PeerReports, AreRequestedOnlyWhileTheStoreCannotBeRead)
{
  for (const bool hasWorkspaces : { true, false }) {
    DaemonState state;
    state.shards_.front().ownership_.owner_ = OwnerRecord{};
    state.shards_.front().ownership_.owner_->address_ = { "owner", 1 };
    OperatorRecordsRead read;
    read.configuration_ = WithWorkspaces(5);
    if (!hasWorkspaces) {
      read.configuration_->workspaces_.reset();
    }
    const auto calm = Reduce(state, read, 1s);
    EXPECT_EQ(CountOf<RequestPeerReport>(calm), 0);
    Reduce(state, OperatorReadFailed{}, 2s);
    const auto failing = Reduce(state, TimerDue{ PeerPoll{} }, 2500ms);
    EXPECT_EQ(CountOf<RequestPeerReport>(failing), hasWorkspaces ? 1 : 0);
  }
}

// Guards against a log that grows with each poll.
TEST(PeerReports, LogOnceThatTheStoreCannotBeRead)
{
  DaemonState state;
  OperatorRecordsRead read;
  read.configuration_ = WithWorkspaces(5);
  Reduce(state, read, 1s);
  Reduce(state, OperatorReadFailed{}, 2s);
  std::ptrdiff_t lines = 0;
  for (int poll = 0; poll < 20; ++poll) {
    lines += CountOf<LogLine>(
      Reduce(state, TimerDue{ PeerPoll{} }, 3s + poll * 500ms));
    lines += CountOf<LogLine>(Reduce(state, OperatorReadFailed{}, 13s));
  }
  EXPECT_EQ(lines, 1);
  EXPECT_EQ(CountOf<LogLine>(Reduce(state, OperatorRecordsRead{}, 14s)), 1);
}

// Guards against fields that a report loses, and against keys in it.
TEST(PeerReports, HoldTheWholeConfigurationAndNoKey)
{
  PeerReport report = ReportOf(8);
  KnownOwner& owner = report.owners_.emplace_back();
  owner.shard_ = ShardIndex{ 1 };
  owner.owner_.daemon_ = DaemonId{ "d1" };
  owner.renewalAge_ = 700ms;
  const std::string bytes = EncodePeerReport(report);
  EXPECT_EQ(bytes.find(kKept.Secret()), std::string::npos);
  const PeerReport read = DecodePeerReport(bytes);
  EXPECT_EQ(EncodePeerReport(read), bytes);
  ASSERT_TRUE(read.configuration_);
  const Queue& queue = read.configuration_->queues_.at(0);
  EXPECT_EQ(queue.stretch_, 1.75);
  EXPECT_EQ(queue.advice_->ticketValidity_, 1500ms);
  EXPECT_EQ(read.configuration_->services_.at(0).id_, kService);
  const Workspace& workspace = read.configuration_->workspaces_->at(0);
  EXPECT_EQ(workspace.weight_, WorkspaceWeight{ 2.5 });
  EXPECT_EQ(workspace.quota_.cpu_, MilliCores{ 4000 });
  const WorkspaceId* found = read.configuration_->keys_->Find(kKept);
  ASSERT_NE(found, nullptr);
  EXPECT_EQ(*found, workspace.id_);
  EXPECT_EQ(read.age_, 250ms);
  EXPECT_EQ(read.owners_.at(0).owner_, owner.owner_);
}

// Guards against a malformed report that ends the process or takes effect.
TEST(PeerReports, AreRejectedIfMalformed)
{
  const std::string bytes = EncodePeerReport(ReportOf(8));
  for (std::size_t size = 0; size < bytes.size(); ++size) {
    EXPECT_THROW(DecodePeerReport(bytes.substr(0, size)), std::exception);
  }
  PeerReport other = ReportOf(8);
  other.version_ = ConfigurationVersion{ 9 };
  EXPECT_THROW(DecodePeerReport(EncodePeerReport(other)), std::exception);
  PeerReport negative = ReportOf(8);
  negative.age_ = -1ms;
  EXPECT_THROW(DecodePeerReport(EncodePeerReport(negative)), std::exception);
  PeerReport invalid = ReportOf(8);
  invalid.configuration_->workspaces_->at(0).weight_ = WorkspaceWeight{ -1.0 };
  EXPECT_THROW(DecodePeerReport(EncodePeerReport(invalid)), std::exception);
  PeerReport foreign = ReportOf(8);
  foreign.configuration_->workspaces_->clear();
  EXPECT_THROW(DecodePeerReport(EncodePeerReport(foreign)), std::exception);
  EXPECT_THROW(DecodeKnownVersion("version"), std::exception);
}

} // namespace
} // namespace verbenawell::jobs
