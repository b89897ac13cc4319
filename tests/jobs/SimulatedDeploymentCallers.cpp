#include "SimulatedDeployment.h"

#include <memory>
#include <utility>

namespace verbenawell::jobs {

namespace {

using namespace std::chrono_literals;

constexpr Duration kDeadline = 3s;

} // namespace

std::string
Installation::AnyDaemon()
{
  const auto running = Running();
  return running.empty() ? std::string{}
                         : running[random_.Below(running.size())];
}

void
Installation::Ask(const std::string& aDaemon,
                  CallerAction aAction,
                  AnswerHandler aHandler,
                  const std::string& aPath,
                  Duration aTimeLeft)
{
  const RequestKey key = ++lastKey_;
  asked_[key] = std::move(aHandler);
  Deliver(
    aDaemon,
    daemons_.at(aDaemon).life_,
    CallerRequested{
      key, { kCallerHost, aPath, std::move(aAction) }, aTimeLeft, false });
}

void
Installation::Submit(const std::string& aJob,
                     JobDefinition aDefinition,
                     const std::string& aPath)
{
  aDefinition.specification_ = "specification of " + aJob;
  definitions_[aJob] = aDefinition;
  oracle_.Submitted(JobId{ aJob }, aDefinition);
  SubmitOnce(aJob, aPath);
}

void
Installation::SubmitAt(const std::string& aDaemon,
                       const std::string& aJob,
                       JobDefinition aDefinition,
                       Duration aTimeLeft)
{
  aDefinition.specification_ = "specification of " + aJob;
  definitions_[aJob] = aDefinition;
  oracle_.Submitted(JobId{ aJob }, aDefinition);
  oracle_.Unanswered(JobId{ aJob });
  Ask(
    aDaemon,
    SubmitJob{ JobId{ aJob },
               std::make_shared<const JobDefinition>(aDefinition) },
    [](const CallerAnswer&) {},
    kQueuePath,
    aTimeLeft);
}

void
Installation::SubmitOnce(const std::string& aJob, const std::string& aPath)
{
  const auto answered = std::make_shared<bool>(false);
  const std::string daemon = AnyDaemon();
  if (!daemon.empty()) {
    Ask(
      daemon,
      SubmitJob{ JobId{ aJob },
                 std::make_shared<const JobDefinition>(definitions_.at(aJob)) },
      [this, aJob, answered](const CallerAnswer& aAnswer) {
        if (std::holds_alternative<JobAccepted>(aAnswer)) {
          *answered = true;
          oracle_.Accepted(JobId{ aJob });
        } else if (const auto* rejected = std::get_if<JobRejected>(&aAnswer)) {
          *answered = true;
          oracle_.Rejected(JobId{ aJob }, rejected->reason_);
        } else {
          oracle_.Unanswered(JobId{ aJob });
        }
      },
      aPath);
  }
  time_.After(kDeadline, [this, aJob, aPath, answered] {
    if (!*answered) {
      oracle_.Unanswered(JobId{ aJob });
      SubmitOnce(aJob, aPath);
    }
  });
}

void
Installation::Cancel(const std::string& aJob)
{
  CancelOnce(aJob);
}

void
Installation::CancelAt(const std::string& aDaemon, const std::string& aJob)
{
  Ask(aDaemon, CancelJob{ JobId{ aJob } }, [](const CallerAnswer&) {});
}

void
Installation::CancelOnce(const std::string& aJob)
{
  const auto answered = std::make_shared<bool>(false);
  const std::string daemon = AnyDaemon();
  if (!daemon.empty()) {
    Ask(daemon,
        CancelJob{ JobId{ aJob } },
        [this, aJob, answered](const CallerAnswer& aAnswer) {
          if (std::holds_alternative<CancelAccepted>(aAnswer)) {
            *answered = true;
            oracle_.Cancelled(JobId{ aJob }, time_.Now());
          }
        });
  }
  time_.After(kDeadline, [this, aJob, answered] {
    if (!*answered) {
      CancelOnce(aJob);
    }
  });
}

void
Installation::AskForAll()
{
  for (const std::string& daemon : Running()) {
    for (const auto& [name, definition] : definitions_) {
      Ask(daemon,
          ReadJob{ JobId{ name } },
          [this, job = JobId{ name }](const CallerAnswer& aAnswer) {
            if (const auto* shown = std::get_if<JobShown>(&aAnswer)) {
              oracle_.Shown(job, shown->state_);
            }
          });
    }
  }
}

std::optional<CallerAnswer>
Installation::AskOnce(const std::string& aDaemon,
                      CallerAction aAction,
                      const std::string& aPath)
{
  const auto result = std::make_shared<std::optional<CallerAnswer>>();
  Ask(
    aDaemon,
    std::move(aAction),
    [result](const CallerAnswer& aAnswer) { *result = aAnswer; },
    aPath);
  RunFor(kDeadline);
  return *result;
}

JobState
Installation::StateOfJob(const std::string& aJob)
{
  const auto answer = AskOnce(AnyDaemon(), ReadJob{ JobId{ aJob } });
  const auto* shown = answer ? std::get_if<JobShown>(&*answer) : nullptr;
  return shown == nullptr ? JobState::Queued : shown->state_;
}

const JobDefinition*
Installation::Definition(const std::string& aJob) const
{
  const auto found = definitions_.find(aJob);
  return found == definitions_.end() ? nullptr : &found->second;
}

} // namespace verbenawell::jobs
