#include "Disruptions.h"

#include "verbenawell/core/Overloaded.h"

#include <algorithm>
#include <iostream>
#include <utility>

namespace verbenawell::jobs {

namespace {

using namespace std::chrono_literals;

constexpr Duration kCheckInterval = 50ms;

} // namespace

Disruptions::Disruptions(SimulatedDeployment& aDeployment, Random& aRandom)
  : deployment_(aDeployment)
  , random_(aRandom)
{
}

void
Disruptions::Plan(Duration aTime)
{
  const std::uint64_t count = 3 + random_.Below(6);
  for (std::uint64_t index = 0; index < count; ++index) {
    const Kind& kind = Kinds()[random_.Below(Kinds().size())];
    const std::uint64_t repetitions =
      random_.Below(3) == 0 ? 2 + random_.Below(4) : 1;
    Duration at = RandomDuration(aTime);
    for (std::uint64_t turn = 0; turn < repetitions; ++turn) {
      After(at, [this, &kind] { Inject(kind); });
      at += 300ms + RandomDuration(3s);
    }
  }
  if (random_.Below(2) == 0) {
    After(RandomDuration(aTime), [this] {
      deployment_.BeginWave(1 + static_cast<int>(random_.Below(3)));
    });
  }
}

void
Disruptions::EndAll()
{
  haveEnded_ = true;
  deployment_.store_.faults_ = {};
  deployment_.vmServiceFaults_ = {};
  deployment_.lossyLinks_.clear();
  for (std::size_t index = 0; index < deployment_.Workers(); ++index) {
    deployment_.WorkerAt(index).faults_ = {};
    deployment_.ReconnectWorkerToStore(index);
    deployment_.RestartWorker(index);
  }
  for (Fault& fault : faults_) {
    fault.end_ = std::min(fault.end_, deployment_.time_.Now());
  }
}

void
Disruptions::Watch()
{
  Check();
  deployment_.time_.After(kCheckInterval, [this] { Watch(); });
}

void
Disruptions::Check()
{
  const TimePoint now = deployment_.time_.Now();
  std::erase_if(faults_, [&](const Fault& aFault) {
    // A fault acts until it ends, so its last moment counts too.
    Touch(aFault.target_);
    return aFault.end_ <= now;
  });
  for (std::size_t index = 0; index < deployment_.Workers(); ++index) {
    const FakeWorker& worker = deployment_.WorkerAt(index);
    const TimePoint calmSince = CalmSince(worker.Entry().worker_);
    for (const TaskId& task : worker.Running()) {
      deployment_.oracle_.CheckListedRun(task, calmSince, now);
    }
  }
}

void
Disruptions::Touch(const Target& aTarget)
{
  const TimePoint now = deployment_.time_.Now();
  const std::string owner = deployment_.NewestOwner();
  std::visit(
    Overloaded{ [&](const OnDaemon& aOn) {
                 daemonFaultAt_[aOn.daemon_] = now;
                 if (owner.empty() || owner == aOn.daemon_) {
                   ownerFaultAt_ = now;
                 }
               },
                [&](const OnWorker& aOn) { workerFaultAt_[aOn.worker_] = now; },
                [&](const OnLink& aOn) {
                  if (owner.empty() || owner == aOn.daemon_) {
                    workerFaultAt_[aOn.worker_] = now;
                  }
                },
                [&](const OnStore&) { storeFaultAt_ = now; } },
    aTarget);
}

TimePoint
Disruptions::CalmSince(const WorkerId& aWorker) const
{
  TimePoint since = std::max(storeFaultAt_, ownerFaultAt_);
  if (const auto found = workerFaultAt_.find(aWorker);
      found != workerFaultAt_.end()) {
    since = std::max(since, found->second);
  }
  if (const auto found = daemonFaultAt_.find(deployment_.NewestOwner());
      found != daemonFaultAt_.end()) {
    since = std::max(since, found->second);
  }
  return since;
}

void
Disruptions::Begin(const Target& aTarget, Duration aTime)
{
  Touch(aTarget);
  faults_.push_back({ aTarget, deployment_.time_.Now() + aTime });
}

void
Disruptions::After(Duration aTime, std::function<void()> aAction)
{
  deployment_.time_.After(aTime, [this, action = std::move(aAction)] {
    if (!haveEnded_) {
      action();
    }
  });
}

void
Disruptions::Inject(const Kind& aKind)
{
  if (deployment_.isTraced_) {
    std::cout << deployment_.time_.Now().time_since_epoch().count() / 1000
              << " ms disruption: " << aKind.name_ << '\n';
  }
  (this->*aKind.inject_)();
}

Duration
Disruptions::RandomDuration(Duration aEnd)
{
  return Duration(random_.Below(static_cast<std::uint64_t>(aEnd.count())));
}

std::size_t
Disruptions::RandomWorker()
{
  return random_.Below(deployment_.Workers());
}

std::string
Disruptions::RandomDaemon()
{
  std::string owner = deployment_.NewestOwner();
  const auto running = deployment_.Running();
  if (running.empty() || (!owner.empty() && random_.Below(2) == 0)) {
    return owner;
  }
  return running[random_.Below(running.size())];
}

std::set<std::string>
Disruptions::SomeDaemons()
{
  std::set<std::string> daemons;
  for (const std::string& name : deployment_.Running()) {
    if (random_.Below(2) == 0 || name == deployment_.NewestOwner()) {
      daemons.insert(name);
    }
  }
  return daemons;
}

} // namespace verbenawell::jobs
