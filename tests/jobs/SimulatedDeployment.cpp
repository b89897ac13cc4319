#include "SimulatedDeployment.h"

#include "verbenawell/codec/jobs/PeerReportCodec.h"
#include "verbenawell/core/Overloaded.h"
#include "verbenawell/jobs/sharding/Shards.h"
#include "verbenawell/jobs/workspaces/ApiKeyIndex.h"

#include <algorithm>
#include <iostream>
#include <utility>

namespace verbenawell::jobs {

namespace {

using namespace std::chrono_literals;

constexpr Duration kNetworkLatency = 1ms;

Configuration
DefaultConfiguration()
{
  Configuration configuration;
  configuration.version_ = ConfigurationVersion{ 1 };
  Queue queue;
  queue.id_ = kQueue;
  queue.host_ = kCallerHost;
  queue.pathPrefix_ = kQueuePath;
  queue.service_ = kService;
  queue.maxAttempts_ = TaskCount{ 2 };
  queue.stretch_ = 2;
  queue.slack_ = 1s;
  configuration.queues_.push_back(queue);
  configuration.services_.push_back({ kService, false, false });
  configuration.services_.push_back({ kSpare, false, true });
  return configuration;
}

} // namespace

WallTime
WallAt(TimePoint aTime)
{
  constexpr auto kStart = std::chrono::milliseconds(1'700'000'000'000);
  return WallTime{ kStart +
                   std::chrono::duration_cast<std::chrono::milliseconds>(
                     aTime.time_since_epoch()) };
}

JobDefinition
MakeJob(std::uint32_t aTasks, std::uint32_t aSteps, Duration aRunTime)
{
  JobDefinition job;
  for (std::uint32_t index = 0; index < aSteps; ++index) {
    Step step;
    step.count_ = TaskCount{ aTasks };
    step.resources_ = { MilliCores{ 2000 }, Megabytes{ 100 }, Accelerators{} };
    step.estimatedRunTime_ = aRunTime;
    if (index > 0) {
      step.dependencies_.emplace_back(index - 1);
    }
    job.steps_.push_back(step);
  }
  return job;
}

SimulatedDeployment::SimulatedDeployment(std::uint64_t aSeed, Size aSize)
  : random_(aSeed)
  , store_(time_, random_)
  , advice_(time_)
  , size_(aSize)
{
  time_.RunFor(1s);
  store_.Put(DefaultConfiguration());
  vms_.resize(static_cast<std::size_t>(aSize.workers_));
  for (std::size_t index = 0; index < vms_.size(); ++index) {
    vms_[index].id_ = VmId{ "vm" + std::to_string(index) };
    const bool isSpare =
      index + static_cast<std::size_t>(aSize.spare_) >= vms_.size();
    const bool isOther = index < static_cast<std::size_t>(aSize.other_);
    vms_[index].pool_ = isSpare ? kSpare : isOther ? kOtherService : kService;
    MakeWorker(vms_[index], index);
  }
  ListWorkers();
  for (int index = 0; index < aSize.daemons_; ++index) {
    Start("d" + std::to_string(index));
  }
}

void
SimulatedDeployment::SetQuota(const WorkspaceId& aWorkspace,
                              const Resources& aQuota)
{
  const ApiKey key{ "key of " + aWorkspace.Value() };
  auto keys = std::make_shared<ApiKeyIndex>(ApiKeyIndex::Salt{});
  keys->Add(key, aWorkspace);
  Configuration configuration = DefaultConfiguration();
  configuration.version_ = quotaVersion_;
  ++quotaVersion_;
  configuration.workspaces_ = {
    { aWorkspace, WorkspaceWeight{ 1.0 }, aQuota }
  };
  configuration.keys_ = std::move(keys);
  credential_ = key;
  store_.Put(configuration);
}

void
SimulatedDeployment::Start(const std::string& aDaemon)
{
  Daemon& daemon = daemons_[aDaemon];
  daemon = Daemon{ {}, true, daemon.incarnationNumber_ + 1, {}, {}, {}, {},
                   {}, false };
  const auto shards = static_cast<std::uint32_t>(size_.shards_);
  if (shards > 0) {
    daemon.state_.count_ = ShardCount{ shards };
    daemon.state_.shards_.resize(shards);
  }
  for (std::uint32_t index = 0; index < shards; ++index) {
    QuotasState& quotas = daemon.state_.shards_[index].quotas_;
    quotas.shard_ = ShardIndex{ index };
    quotas.shards_ = ShardCount{ shards };
  }
  for (State& state : daemon.state_.shards_) {
    OwnershipState& ownership = state.ownership_;
    ownership.self_.daemon_ = DaemonId{ aDaemon };
    ownership.self_.instance_ =
      aDaemon + "-" + std::to_string(daemon.incarnationNumber_);
    ownership.self_.address_ = { aDaemon, 1 };
    ownership.self_.vmCpu_ = vmCpus_[aDaemon];
    ownership.self_.shards_ = ShardCount{ shards };
    ownership.publishedShards_ = ShardCount{ shards };
    ownership.random_ = Random{ random_() };
    state.estimates_.use_ = size_.learnedRunTimes_;
  }
  for (std::uint32_t index = 0; index < std::max(1U, shards); ++index) {
    Apply(aDaemon, { ShardIndex{ index }, Started{} });
  }
}

void
SimulatedDeployment::AddQueue()
{
  Configuration configuration = DefaultConfiguration();
  configuration.version_ = ConfigurationVersion{ 5 };
  Queue more = configuration.queues_.front();
  more.id_ = QueueId{ "more" };
  more.pathPrefix_ = "/more/";
  configuration.queues_.push_back(more);
  store_.Put(configuration);
}

void
SimulatedDeployment::AddService()
{
  Configuration configuration = DefaultConfiguration();
  configuration.version_ = ConfigurationVersion{ 4 };
  Queue other = configuration.queues_.front();
  other.id_ = QueueId{ "other" };
  other.pathPrefix_ = "/other/";
  other.service_ = kOtherService;
  configuration.queues_.push_back(other);
  configuration.services_.push_back({ kOtherService, false, false });
  store_.Put(configuration);
}

void
SimulatedDeployment::RequireTickets()
{
  Configuration configuration = DefaultConfiguration();
  configuration.version_ = ConfigurationVersion{ 3 };
  configuration.queues_.front().advice_ = AdviceSettings{ 20ms, 2ms, 1500ms };
  store_.Put(configuration);
  requiresTickets_ = true;
}

void
SimulatedDeployment::SetVmCpu(const std::string& aDaemon, MilliCores aCpu)
{
  vmCpus_[aDaemon] = aCpu;
}

void
SimulatedDeployment::Kill(const std::string& aDaemon)
{
  Daemon& daemon = daemons_.at(aDaemon);
  daemon.isUp_ = false;
  for (const OpenForward& open : std::exchange(daemon.openForwards_, {})) {
    if (!std::exchange(*open.isDone_, true)) {
      time_.After(kNetworkLatency, open.reset_);
    }
  }
}

void
SimulatedDeployment::Stop(const std::string& aDaemon)
{
  Deliver(
    aDaemon, daemons_.at(aDaemon).incarnationNumber_, { {}, StopRequested{} });
}

std::string
SimulatedDeployment::Owner(ShardIndex aShard) const
{
  for (const auto& [name, daemon] : daemons_) {
    if (!daemon.isUp_ || aShard.Value() >= daemon.state_.shards_.size()) {
      continue;
    }
    const State& state = daemon.state_.shards_[aShard.Value()];
    if (state.ownership_.AsOwner() != nullptr && state.journal_.IsReady()) {
      return name;
    }
  }
  return {};
}

std::string
SimulatedDeployment::NewestOwner() const
{
  std::string newest;
  Epoch epoch;
  for (const auto& [name, daemon] : daemons_) {
    if (const Owning* owning =
          daemon.state_.shards_.front().ownership_.AsOwner();
        daemon.isUp_ && owning != nullptr && owning->epoch_ >= epoch) {
      newest = name;
      epoch = owning->epoch_;
    }
  }
  return newest;
}

std::vector<std::string>
SimulatedDeployment::Running() const
{
  std::vector<std::string> names;
  for (const auto& [name, daemon] : daemons_) {
    if (daemon.isUp_) {
      names.push_back(name);
    }
  }
  return names;
}

const State&
SimulatedDeployment::StateOf(const std::string& aDaemon,
                             ShardIndex aShard) const
{
  return daemons_.at(aDaemon).state_.shards_.at(aShard.Value());
}

std::optional<ShardCount>
SimulatedDeployment::ShardsOf(const std::string& aDaemon) const
{
  return daemons_.at(aDaemon).state_.count_;
}

bool
SimulatedDeployment::HasEnded(const JobId& aJob) const
{
  const ShardIndex shard =
    ShardOf(aJob, ShardCount{ static_cast<std::uint32_t>(size_.shards_) });
  const std::string owner = Owner(shard);
  return !owner.empty() &&
         StateOf(owner, shard).tasks_.endedJobs_.contains(aJob);
}

void
SimulatedDeployment::Execute(const std::string& aDaemon,
                             const ShardEffect& aEffect)
{
  const ShardIndex shard = aEffect.shard_;
  std::visit(
    Overloaded{
      [&](const SendResponse& aResponse) {
        if (const auto found = responseHandlers_.find(aResponse.key_);
            found != responseHandlers_.end()) {
          const ResponseHandler handler = std::move(found->second);
          responseHandlers_.erase(found);
          handler(aResponse.response_);
        }
      },
      [&](const ForwardRequest& aForward) { Forward(aDaemon, aForward); },
      [&](const RenewLease& aCommand) { Send(aDaemon, shard, aCommand); },
      [&](const StartTask& aCommand) { Send(aDaemon, shard, aCommand); },
      [&](const StopTask& aCommand) { Send(aDaemon, shard, aCommand); },
      [](const ThrottleTask&) {},
      [](const DisconnectWorker&) {},
      [&](const RequestAdvice& aRequest) {
        advice_.Run(aRequest, ReplyTo(aDaemon, shard));
      },
      [&](const ReadVms&) { ListVms(aDaemon, shard); },
      [&](const StartMaintenance& aCommand) {
        BeginMaintenance(aDaemon, shard, aCommand);
      },
      [&](const MoveVm& aCommand) { MoveToPool(aDaemon, shard, aCommand); },
      [&](const SetTimer& aTimer) { StartTimer(aDaemon, shard, aTimer); },
      [](const Count&) {},
      [](const Observe&) {},
      [&](const LogLine& aLine) { Log(aDaemon, aLine); },
      [](const SetReady&) {},
      [&](const Exit&) { Kill(aDaemon); },
      // The reducer of the daemon handles these itself.
      [](const Raise&) {},
      [](const RedirectRequest&) {},
      [](const RequestFromShard&) {},
      [](const PollPeers&) {},
      [&](const RequestPeerReport& aRequest) {
        RequestReport(aDaemon, aRequest);
      },
      [&](const SendPeerReport& aReport) {
        if (auto reply = reportReplies_.extract(aReport.key_); reply) {
          reply.mapped()(EncodePeerReport(aReport.report_));
        }
      },
      [&](const WriteWaveStatus& aStatus) {
        if (aStatus.completed_ && wave_) {
          oracle_.WaveReportedCompleted(*wave_, maintenanceBegun_);
        }
        store_.Run(
          DaemonId{ aDaemon }, shard, aStatus, ReplyTo(aDaemon, shard));
      },
      [&](const auto& aStoreCall) {
        store_.Run(
          DaemonId{ aDaemon }, shard, aStoreCall, ReplyTo(aDaemon, shard));
      } },
    aEffect.effect_);
}

void
SimulatedDeployment::Log(const std::string& aDaemon, const LogLine& aLine)
{
  LoggedEvent event{ WallAt(time_.Now()), aDaemon, aLine.event_, {} };
  for (const auto& [name, value] : aLine.fields_) {
    event.fields_.emplace(name, value);
  }
  log_.push_back(std::move(event));
  if (!isTraced_) {
    return;
  }
  std::cout << time_.Now().time_since_epoch().count() / 1000 << " ms "
            << aDaemon << ' ' << aLine.event_;
  for (const auto& [name, value] : aLine.fields_) {
    std::cout << ' ' << name << '=' << value;
  }
  std::cout << '\n';
}

} // namespace verbenawell::jobs
