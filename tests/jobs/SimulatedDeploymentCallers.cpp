#include "verbenawell/codec/jobs/PeerReportCodec.h"

#include "SimulatedDeployment.h"

#include <memory>
#include <utility>

namespace verbenawell::jobs {

namespace {

using namespace std::chrono_literals;

constexpr Duration kCallerTimeout = 3s;
constexpr Duration kNetworkLatency = 1ms;

} // namespace

std::string
SimulatedDeployment::RandomDaemon()
{
  const auto running = Running();
  return running.empty() ? std::string{}
                         : running[random_.Below(running.size())];
}

void
SimulatedDeployment::Send(const std::string& aDaemon,
                          CallerAction aAction,
                          ResponseHandler aHandler,
                          const std::string& aPath,
                          Duration aTimeLeft)
{
  const RequestKey key = ++lastKey_;
  responseHandlers_[key] = std::move(aHandler);
  CallerRequest request{ kCallerHost, aPath, std::move(aAction) };
  request.credential_ = credential_;
  Deliver(aDaemon,
          daemons_.at(aDaemon).incarnationNumber_,
          { {}, CallerRequested{ key, std::move(request), aTimeLeft, false } });
}

void
SimulatedDeployment::Submit(const std::string& aJob,
                            JobDefinition aDefinition,
                            const std::string& aPath)
{
  aDefinition.specification_ = "specification of " + aJob;
  definitions_[aJob] = aDefinition;
  oracle_.Submitted(JobId{ aJob }, aDefinition);
  SubmitOnce(aJob, aPath);
}

void
SimulatedDeployment::SubmitAt(const std::string& aDaemon,
                              const std::string& aJob,
                              JobDefinition aDefinition,
                              Duration aTimeLeft)
{
  aDefinition.specification_ = "specification of " + aJob;
  definitions_[aJob] = aDefinition;
  oracle_.Submitted(JobId{ aJob }, aDefinition);
  oracle_.SubmissionUndecided(JobId{ aJob });
  Send(
    aDaemon,
    SubmitJob{ JobId{ aJob },
               std::make_shared<const JobDefinition>(aDefinition) },
    [](const CallerResponse&) {},
    kQueuePath,
    aTimeLeft);
}

void
SimulatedDeployment::SubmitOnce(const std::string& aJob,
                                const std::string& aPath)
{
  const auto isDecided = std::make_shared<bool>(false);
  const std::string daemon = RandomDaemon();
  if (!daemon.empty()) {
    Send(
      daemon,
      SubmitJob{ JobId{ aJob },
                 std::make_shared<const JobDefinition>(definitions_.at(aJob)) },
      [this, aJob, isDecided](const CallerResponse& aResponse) {
        if (std::holds_alternative<JobAccepted>(aResponse)) {
          *isDecided = true;
          oracle_.Accepted(JobId{ aJob });
          jobAccepted_(JobId{ aJob });
        } else if (const auto* rejected =
                     std::get_if<JobRejected>(&aResponse)) {
          *isDecided = true;
          oracle_.Rejected(JobId{ aJob }, rejected->reason_);
        } else {
          oracle_.SubmissionUndecided(JobId{ aJob });
        }
      },
      aPath);
  }
  time_.After(kCallerTimeout, [this, aJob, aPath, isDecided] {
    if (!*isDecided) {
      oracle_.SubmissionUndecided(JobId{ aJob });
      SubmitOnce(aJob, aPath);
    }
  });
}

void
SimulatedDeployment::Cancel(const std::string& aJob)
{
  CancelOnce(aJob);
}

void
SimulatedDeployment::CancelAt(const std::string& aDaemon,
                              const std::string& aJob)
{
  Send(aDaemon, CancelJob{ JobId{ aJob } }, [](const CallerResponse&) {});
}

void
SimulatedDeployment::ReadAt(const std::string& aDaemon, const std::string& aJob)
{
  Send(aDaemon, ReadJob{ JobId{ aJob } }, [](const CallerResponse&) {});
}

void
SimulatedDeployment::CancelOnce(const std::string& aJob)
{
  const auto isDecided = std::make_shared<bool>(false);
  const std::string daemon = RandomDaemon();
  if (!daemon.empty()) {
    Send(daemon,
         CancelJob{ JobId{ aJob } },
         [this, aJob, isDecided](const CallerResponse& aResponse) {
           if (std::holds_alternative<CancelAccepted>(aResponse)) {
             *isDecided = true;
             oracle_.Cancelled(JobId{ aJob }, time_.Now());
           }
         });
  }
  time_.After(kCallerTimeout, [this, aJob, isDecided] {
    if (!*isDecided) {
      CancelOnce(aJob);
    }
  });
}

void
SimulatedDeployment::ReadAllJobs()
{
  for (const std::string& daemon : Running()) {
    for (const auto& [name, definition] : definitions_) {
      Send(daemon,
           ReadJob{ JobId{ name } },
           [this, job = JobId{ name }](const CallerResponse& aResponse) {
             if (const auto* shown =
                   std::get_if<JobStateReported>(&aResponse)) {
               oracle_.StateReported(job, shown->state_);
             }
           });
    }
  }
}

std::optional<CallerResponse>
SimulatedDeployment::SendAndWait(const std::string& aDaemon,
                                 CallerAction aAction,
                                 const std::string& aPath)
{
  const auto result = std::make_shared<std::optional<CallerResponse>>();
  Send(
    aDaemon,
    std::move(aAction),
    [result](const CallerResponse& aResponse) { *result = aResponse; },
    aPath);
  RunFor(kCallerTimeout);
  return *result;
}

JobState
SimulatedDeployment::StateOfJob(const std::string& aJob)
{
  const auto response = SendAndWait(RandomDaemon(), ReadJob{ JobId{ aJob } });
  const auto* shown =
    response ? std::get_if<JobStateReported>(&*response) : nullptr;
  return shown == nullptr ? JobState::Queued : shown->state_;
}

const JobDefinition*
SimulatedDeployment::Definition(const std::string& aJob) const
{
  const auto found = definitions_.find(aJob);
  return found == definitions_.end() ? nullptr : &found->second;
}

void
SimulatedDeployment::Forward(const std::string& aDaemon,
                             const ForwardRequest& aForward)
{
  const auto reply = ReplyTo(aDaemon, aForward.request_.shard_);
  const auto respond = [reply, key = aForward.key_](
                         const std::optional<CallerResponse>& aResponse) {
    reply(ForwardCompleted{ key, aResponse });
  };
  const auto target = daemons_.find(aForward.owner_.host_);
  if (target == daemons_.end() || !target->second.isUp_) {
    time_.After(kNetworkLatency, [respond] { respond(std::nullopt); });
    return;
  }
  const RequestKey key = ++lastKey_;
  const auto done = std::make_shared<bool>(false);
  std::erase_if(target->second.openForwards_,
                [](const OpenForward& aOpen) { return *aOpen.isDone_; });
  target->second.openForwards_.push_back(
    { done, [respond] { respond(std::nullopt); } });
  responseHandlers_[key] = [this, respond, done](
                             const CallerResponse& aResponse) {
    *done = true;
    time_.After(kNetworkLatency, [respond, aResponse] { respond(aResponse); });
  };
  time_.After(kNetworkLatency,
              [this,
               name = target->first,
               incarnation = target->second.incarnationNumber_,
               key,
               sender = aDaemon,
               aForward] {
                Deliver(name,
                        incarnation,
                        { {},
                          CallerRequested{ key,
                                           aForward.request_,
                                           aForward.timeLeft_,
                                           true,
                                           Endpoint{ sender, 1 } } });
              });
  time_.After(aForward.timeLeft_, [respond, done] {
    if (!*done) {
      respond(std::nullopt);
    }
  });
}

void
SimulatedDeployment::RequestReport(const std::string& aDaemon,
                                   const RequestPeerReport& aRequest)
{
  const auto target = daemons_.find(aRequest.peer_.host_);
  if (target == daemons_.end() || !target->second.isUp_) {
    return;
  }
  const RequestKey key = ++lastKey_;
  reportReplies_[key] =
    [this, peer = aRequest.peer_, reply = ReplyTo(aDaemon, {})](
      const std::string& aBytes) {
      time_.After(kNetworkLatency, [peer, reply, aBytes] {
        reply(PeerReportReceived{ peer, DecodePeerReport(aBytes) });
      });
    };
  time_.After(
    kNetworkLatency,
    [this,
     name = target->first,
     incarnation = target->second.incarnationNumber_,
     key,
     known = aRequest.known_] {
      Deliver(name, incarnation, { {}, PeerReportRequested{ key, known } });
    });
}

} // namespace verbenawell::jobs
