#include "SimulatedDeployment.h"

#include <algorithm>
#include <utility>

namespace verbenawell::jobs {

namespace {

using namespace std::chrono_literals;

constexpr Duration kNetworkLatency = 1ms;
// Time after which a daemon gives up a call to a worker.
constexpr Duration kCallTimeout = 800ms;

Event
FailureOf(const RenewLease& aCommand)
{
  return LeaseRenewalFailed{ aCommand.worker_ };
}

Event
FailureOf(const StartTask& aCommand)
{
  return StartCommandCompleted{
    aCommand.worker_, aCommand.task_, aCommand.run_, StartUnconfirmed{}
  };
}

Event
FailureOf(const StopTask& aCommand)
{
  return StopCommandCompleted{ aCommand.worker_,
                               aCommand.task_,
                               aCommand.run_,
                               aCommand.incarnation_,
                               false };
}

} // namespace

FakeWorker*
SimulatedDeployment::Find(const WorkerId& aWorker)
{
  const auto found = std::ranges::find_if(vms_, [&](const Vm& aVm) {
    return aVm.worker_->Entry().worker_ == aWorker;
  });
  return found == vms_.end() ? nullptr : found->worker_.get();
}

bool
SimulatedDeployment::Loses(const std::string& aDaemon,
                           const WorkerId& aWorker,
                           LinkLoss aLoss) const
{
  const auto found = lossyLinks_.find({ aDaemon, aWorker });
  return found != lossyLinks_.end() && found->second >= aLoss;
}

template<typename Command>
void
SimulatedDeployment::SendToWorker(const std::string& aDaemon,
                                  ShardIndex aShard,
                                  const Command& aCommand)
{
  if (Loses(aDaemon, aCommand.worker_, LinkLoss::Calls)) {
    time_.After(kCallTimeout, [reply = ReplyTo(aDaemon, aShard), aCommand] {
      reply(FailureOf(aCommand));
    });
  } else if (FakeWorker* worker = Find(aCommand.worker_); worker != nullptr) {
    worker->Run(aCommand,
                [this, aDaemon, aCommand, reply = ReplyTo(aDaemon, aShard)](
                  Event aEvent) {
                  if (!Loses(aDaemon, aCommand.worker_, LinkLoss::Responses)) {
                    reply(std::move(aEvent));
                    return;
                  }
                  time_.After(kCallTimeout, [reply, aCommand] {
                    reply(FailureOf(aCommand));
                  });
                });
  } else if constexpr (std::is_same_v<Command, RenewLease>) {
    time_.After(1s, [reply = ReplyTo(aDaemon, aShard), aCommand] {
      reply(LeaseRenewalFailed{ aCommand.worker_ });
    });
  }
}

void
SimulatedDeployment::Send(const std::string& aDaemon,
                          ShardIndex aShard,
                          const StartTask& aCommand)
{
  if (!requiresTickets_ || advice_.Permits(aCommand)) {
    SendToWorker(aDaemon, aShard, aCommand);
    return;
  }
  ++ticketRefusals_;
  time_.After(kNetworkLatency, [reply = ReplyTo(aDaemon, aShard), aCommand] {
    reply(StartCommandCompleted{ aCommand.worker_,
                                 aCommand.task_,
                                 aCommand.run_,
                                 StartRefusal::InvalidTicket });
  });
}

void
SimulatedDeployment::Send(const std::string& aDaemon,
                          ShardIndex aShard,
                          const RenewLease& aCommand)
{
  SendToWorker(aDaemon, aShard, aCommand);
}

void
SimulatedDeployment::Send(const std::string& aDaemon,
                          ShardIndex aShard,
                          const StopTask& aCommand)
{
  SendToWorker(aDaemon, aShard, aCommand);
}

} // namespace verbenawell::jobs
