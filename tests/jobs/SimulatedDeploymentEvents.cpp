#include "SimulatedDeployment.h"

#include <utility>

namespace verbenawell::jobs {

void
SimulatedDeployment::Freeze(const std::string& aDaemon, Duration aTime)
{
  Daemon& daemon = daemons_.at(aDaemon);
  daemon.frozenUntil_ = time_.Now() + aTime;
  time_.After(aTime, [this, aDaemon, incarnation = daemon.incarnationNumber_] {
    auto deferred = std::exchange(daemons_.at(aDaemon).deferredEvents_, {});
    for (const ShardEvent& event : deferred) {
      Deliver(aDaemon, incarnation, event);
    }
  });
}

void
SimulatedDeployment::Deliver(const std::string& aDaemon,
                             std::uint64_t aIncarnation,
                             ShardEvent aEvent)
{
  Daemon& daemon = daemons_.at(aDaemon);
  if (!daemon.isUp_ || daemon.incarnationNumber_ != aIncarnation) {
    return;
  }
  if (time_.Now() < daemon.frozenUntil_) {
    daemon.deferredEvents_.push_back(std::move(aEvent));
    return;
  }
  if (!eventCosts_.contains(aDaemon) && daemon.waitingEvents_.IsEmpty()) {
    Apply(aDaemon, aEvent);
    return;
  }
  daemon.waitingEvents_.Push(std::move(aEvent), time_.Now());
  if (!std::exchange(daemon.isBusy_, true)) {
    HandleWaitingEvents(aDaemon, aIncarnation);
  }
}

void
SimulatedDeployment::HandleWaitingEvents(const std::string& aDaemon,
                                         std::uint64_t aIncarnation)
{
  Daemon& daemon = daemons_.at(aDaemon);
  if (!daemon.isUp_ || daemon.incarnationNumber_ != aIncarnation) {
    return;
  }
  const auto resumeAfter = [&](Duration aTime) {
    time_.After(aTime, [this, aDaemon, aIncarnation] {
      HandleWaitingEvents(aDaemon, aIncarnation);
    });
  };
  if (time_.Now() < daemon.frozenUntil_) {
    resumeAfter(daemon.frozenUntil_ - time_.Now());
    return;
  }
  const auto due = daemon.waitingEvents_.Pop(time_.Now());
  daemon.isBusy_ = due.has_value();
  if (due) {
    const auto cost = eventCosts_.find(aDaemon);
    resumeAfter(cost == eventCosts_.end() ? Duration{} : cost->second);
    Apply(aDaemon, due->event_);
  }
}

void
SimulatedDeployment::Apply(const std::string& aDaemon, const ShardEvent& aEvent)
{
  const Context context{ time_.Now(),
                         WallAt(time_.Now()) + wallOffsets_[aDaemon],
                         DaemonId{ aDaemon } };
  for (const ShardEffect& effect :
       ReduceShards(daemons_.at(aDaemon).state_, aEvent, context)) {
    Execute(aDaemon, effect);
  }
}

FakeStore::Reply
SimulatedDeployment::ReplyTo(const std::string& aDaemon, ShardIndex aShard)
{
  return [this,
          aDaemon,
          aShard,
          incarnation = daemons_.at(aDaemon).incarnationNumber_](Event aEvent) {
    Deliver(aDaemon, incarnation, { aShard, std::move(aEvent) });
  };
}

void
SimulatedDeployment::StartTimer(const std::string& aDaemon,
                                ShardIndex aShard,
                                const SetTimer& aTimer)
{
  Daemon& daemon = daemons_.at(aDaemon);
  const std::pair key{ aShard, aTimer.key_ };
  const std::uint64_t serial = ++daemon.timers_[key];
  time_.After(
    aTimer.after_,
    [this, aDaemon, incarnation = daemon.incarnationNumber_, key, serial] {
      Daemon& due = daemons_.at(aDaemon);
      if (due.incarnationNumber_ == incarnation && due.timers_[key] == serial) {
        Deliver(aDaemon, incarnation, { key.first, TimerDue{ key.second } });
      }
    });
}

} // namespace verbenawell::jobs
