#include "Disruptions.h"

#include <algorithm>

namespace verbenawell::jobs {

namespace {

using namespace std::chrono_literals;

// The disruptions leave at least this many daemons.
constexpr std::size_t kMinDaemons = 2;

} // namespace

const std::vector<Disruptions::Kind>&
Disruptions::Kinds()
{
  static const std::vector<Kind> kKinds{
    { "lost responses of a worker", &Disruptions::CutResponses },
    { "worker cut off from daemons", &Disruptions::CutCalls },
    { "worker cut off from the store", &Disruptions::CutFromStore },
    { "restart of a worker behind a cut", &Disruptions::RestartBehindCut },
    { "workers down and up", &Disruptions::FlapWorkers },
    { "store calls refused", &Disruptions::RefuseStoreCalls },
    { "store responses lost", &Disruptions::LoseStoreResponses },
    { "slow store", &Disruptions::SlowStore },
    { "store down", &Disruptions::StopStore },
    { "VM service disturbed", &Disruptions::DisturbVmService },
    { "owner removed after a start", &Disruptions::RemoveOwnerAfterStart },
    { "time of day jumps", &Disruptions::JumpWallClock },
    { "daemon restarted", &Disruptions::RestartDaemon },
    { "all daemons restarted", &Disruptions::RestartAllDaemons },
    { "daemon frozen", &Disruptions::FreezeDaemon },
    { "commands delayed", &Disruptions::DelayCommands },
  };
  return kKinds;
}

void
Disruptions::CutLinks(LinkLoss aLoss, std::size_t aWorker, Duration aTime)
{
  const WorkerId worker = deployment_.WorkerAt(aWorker).Entry().worker_;
  for (const std::string& daemon : SomeDaemons()) {
    deployment_.lossyLinks_[{ daemon, worker }] = aLoss;
    Begin(OnLink{ daemon, worker }, aTime);
    After(aTime, [this, daemon, worker] {
      deployment_.lossyLinks_.erase({ daemon, worker });
    });
  }
}

void
Disruptions::CutResponses()
{
  CutLinks(LinkLoss::Responses, RandomWorker(), 500ms + RandomDuration(5s));
}

void
Disruptions::CutCalls()
{
  CutLinks(LinkLoss::Calls, RandomWorker(), 500ms + RandomDuration(5s));
}

void
Disruptions::CutFromStore()
{
  const std::size_t worker = RandomWorker();
  const Duration time = 1s + RandomDuration(9s);
  deployment_.CutWorkerFromStore(worker);
  Begin(OnWorker{ deployment_.WorkerAt(worker).Entry().worker_ }, time);
  After(time, [this, worker] { deployment_.ReconnectWorkerToStore(worker); });
}

void
Disruptions::RestartBehindCut()
{
  const std::size_t worker = RandomWorker();
  const Duration time = 1s + RandomDuration(5s);
  CutLinks(random_.Below(2) == 0 ? LinkLoss::Calls : LinkLoss::Responses,
           worker,
           time);
  const Duration killed = RandomDuration(time / 2);
  const Duration down = RandomDuration(time / 2);
  Begin(OnWorker{ deployment_.WorkerAt(worker).Entry().worker_ },
        killed + down);
  After(killed, [this, worker] { deployment_.KillWorker(worker); });
  After(killed + down, [this, worker] { deployment_.RestartWorker(worker); });
}

void
Disruptions::FlapWorkers()
{
  const std::size_t first = RandomWorker();
  const std::size_t count = 1 + random_.Below(2);
  const std::uint64_t turns = 2 + random_.Below(5);
  for (std::size_t index = first;
       index < std::min(first + count, deployment_.Workers());
       ++index) {
    Begin(OnWorker{ deployment_.WorkerAt(index).Entry().worker_ }, turns * 1s);
    for (std::uint64_t turn = 0; turn < turns; ++turn) {
      After(turn * 1s, [this, index] { deployment_.KillWorker(index); });
      After(turn * 1s + 500ms,
            [this, index] { deployment_.RestartWorker(index); });
    }
  }
}

void
Disruptions::RefuseStoreCalls()
{
  const Duration time = 500ms + RandomDuration(5s);
  auto& faults = deployment_.store_.faults_;
  auto& from =
    random_.Below(2) == 0 ? faults.refusedFrom_ : faults.unreachableFrom_;
  for (const std::string& daemon : SomeDaemons()) {
    from.insert(DaemonId{ daemon });
    Begin(OnDaemon{ daemon }, time);
    After(time, [&from, daemon] { from.erase(DaemonId{ daemon }); });
  }
}

void
Disruptions::LoseStoreResponses()
{
  const Duration time = 500ms + RandomDuration(4s);
  auto& faults = deployment_.store_.faults_;
  faults.lostResponsePercent_ = 30;
  faults.delayedWritePercent_ = static_cast<int>(random_.Below(20));
  Begin(OnStore{}, time);
  After(time, [&faults] {
    faults.lostResponsePercent_ = 0;
    faults.delayedWritePercent_ = 0;
  });
}

void
Disruptions::SlowStore()
{
  const Duration time = 1s + RandomDuration(5s);
  auto& faults = deployment_.store_.faults_;
  faults.latency_ = 50ms + RandomDuration(850ms);
  Begin(OnStore{}, time);
  After(time, [&faults] { faults.latency_ = StoreFaults{}.latency_; });
}

void
Disruptions::StopStore()
{
  const Duration time = 500ms + RandomDuration(4s);
  auto& faults = deployment_.store_.faults_;
  faults.isDown_ = true;
  Begin(OnStore{}, time);
  After(time, [&faults] { faults.isDown_ = false; });
}

void
Disruptions::DisturbVmService()
{
  auto& faults = deployment_.vmServiceFaults_;
  faults.isUnresponsive_ = random_.Below(2) == 0;
  faults.latency_ = 100ms + RandomDuration(2s);
  After(1s + RandomDuration(6s), [&faults] { faults = {}; });
}

void
Disruptions::RemoveOwnerAfterStart()
{
  constexpr int kTries = 400;
  RemoveOwnerOnceStarted(deployment_.oracle_.Starts(), kTries);
}

void
Disruptions::RemoveOwnerOnceStarted(std::size_t aStarts, int aTriesLeft)
{
  const std::string owner = deployment_.NewestOwner();
  if (deployment_.Running().size() <= kMinDaemons || aTriesLeft == 0) {
    return;
  }
  if (owner.empty() || deployment_.oracle_.Starts() == aStarts) {
    After(5ms, [this, aStarts, aTriesLeft] {
      RemoveOwnerOnceStarted(aStarts, aTriesLeft - 1);
    });
    return;
  }
  Begin(OnDaemon{ owner }, {});
  removed_.insert(owner);
  deployment_.Kill(owner);
}

void
Disruptions::JumpWallClock()
{
  const std::string daemon = RandomDaemon();
  deployment_.wallOffsets_[daemon] =
    std::chrono::duration_cast<std::chrono::milliseconds>(RandomDuration(20s)) -
    10s;
  Begin(OnDaemon{ daemon }, {});
}

void
Disruptions::KillFor(const std::string& aDaemon, Duration aTime)
{
  if (aDaemon.empty()) {
    return;
  }
  Begin(OnDaemon{ aDaemon }, aTime);
  deployment_.Kill(aDaemon);
  // Daemons are started also after all disruptions have ended.
  deployment_.time_.After(aTime, [this, aDaemon] {
    if (!removed_.contains(aDaemon)) {
      deployment_.Start(aDaemon);
    }
  });
}

void
Disruptions::RestartDaemon()
{
  KillFor(RandomDaemon(), 500ms + RandomDuration(4s));
}

void
Disruptions::RestartAllDaemons()
{
  for (const std::string& daemon : deployment_.Running()) {
    KillFor(daemon, 1s);
  }
}

void
Disruptions::FreezeDaemon()
{
  const Duration time = 500ms + RandomDuration(5s);
  if (const std::string daemon = RandomDaemon(); !daemon.empty()) {
    Begin(OnDaemon{ daemon }, time);
    deployment_.Freeze(daemon, time);
  }
}

void
Disruptions::DelayCommands()
{
  const std::size_t index = RandomWorker();
  const Duration time = 500ms + RandomDuration(4s);
  FakeWorker& worker = deployment_.WorkerAt(index);
  worker.faults_.delayedCommandPercent_ = 30;
  Begin(OnWorker{ worker.Entry().worker_ }, time);
  After(time, [&worker] { worker.faults_.delayedCommandPercent_ = 0; });
}

} // namespace verbenawell::jobs
