#include "FakeAdvice.h"

#include <algorithm>

namespace verbenawell::jobs {

namespace {

using namespace std::chrono_literals;

constexpr Duration kCallTime = 20ms;
constexpr Duration kTimePerWorker = 2ms;
constexpr Duration kTicketValidity = 1500ms;
constexpr Duration kLatency = 2ms;

} // namespace

// Decides by the last digit of the VM's name, so that a VM gets the same
// decision throughout a run.
bool
FakeAdvice::Allows(const WorkerId& aWorker)
{
  const std::string name = aWorker.Value().substr(0, aWorker.Value().find('-'));
  return (name.back() - '0') % 2 == 0;
}

void
FakeAdvice::Run(const RequestAdvice& aRequest, const Reply& aReply)
{
  if (isOverloaded_) {
    time_.After(kLatency, [aReply, step = aRequest.step_] {
      aReply(AdviceFailed{ step, "status 429" });
    });
    return;
  }
  freeAt_ = std::max(freeAt_, time_.Now()) + kCallTime +
            kTimePerWorker * static_cast<int>(aRequest.workers_.size());
  time_.After(freeAt_ - time_.Now(), [this, aRequest, aReply] {
    AdviceReceived received{
      aRequest.step_, aRequest.workers_, {}, kTicketValidity
    };
    for (const WorkerId& worker : aRequest.workers_) {
      if (Allows(worker) && !deniesAll_) {
        std::string ticket = "ticket-" + std::to_string(++lastTicket_);
        tickets_[{ aRequest.step_, worker }] = {
          ticket, time_.Now() + kTicketValidity
        };
        received.allowed_.push_back({ worker, std::move(ticket) });
      }
    }
    aReply(received);
  });
}

bool
FakeAdvice::Permits(const StartTask& aStart) const
{
  const auto found = tickets_.find({ StepOf(aStart.task_), aStart.worker_ });
  return found != tickets_.end() && found->second.first == aStart.ticket_ &&
         time_.Now() < found->second.second;
}

} // namespace verbenawell::jobs
