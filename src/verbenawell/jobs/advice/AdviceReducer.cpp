#include "verbenawell/jobs/advice/AdviceReducer.h"

#include "verbenawell/jobs/advice/AdviceState.h"

#include <algorithm>
#include <set>
#include <utility>

namespace verbenawell::jobs {

namespace {

using namespace std::chrono_literals;

// The service handles the calls of a daemon one after the other. A second call
// waits in the service, so that the service is never idle. Further queries wait
// in this daemon, where newer queries can replace them.
constexpr std::size_t kMaxConcurrentCalls = 2;
// Delay before the next call after a failed one. The service rejects calls
// while 32 are waiting, some of which come from other clients.
constexpr Duration kRetryDelay = 200ms;

class Reducer
{
public:
  Reducer(AdviceState& aState, const Context& aContext, Effects& aEffects)
    : state_(aState)
    , now_(aContext.now_)
    , effects_(aEffects)
  {
  }

  void On(const OwnershipTaken&) { state_ = {}; }
  void On(const OwnershipLost&) { state_ = {}; }

  void On(const AdviceRequested& aRequested)
  {
    state_.queries_ = aRequested.queries_;
    SendQueries();
  }

  void On(const AdviceReceived& aReceived)
  {
    state_.pendingSteps_.erase(aReceived.step_);
    StepAdvice& step = state_.steps_[aReceived.step_];
    std::set<WorkerId> denied{ aReceived.askedWorkers_.begin(),
                               aReceived.askedWorkers_.end() };
    for (const Ticket& ticket : aReceived.allowed_) {
      denied.erase(ticket.worker_);
      step.allowed_[ticket.worker_] = { ticket.text_,
                                        now_ + aReceived.validity_ };
    }
    step.denied_.merge(denied);
    effects_.push_back(Count{ Counter::AdviceReceived });
    effects_.push_back(
      LogLine{ LogLevel::Info,
               "advice_given",
               { { "step", ToString(aReceived.step_) },
                 { "asked", std::to_string(aReceived.askedWorkers_.size()) },
                 { "allowed", std::to_string(aReceived.allowed_.size()) } } });
    effects_.push_back(Raise{ CapacityChanged{} });
    SendQueries();
  }

  void On(const AdviceFailed& aFailed)
  {
    state_.pendingSteps_.erase(aFailed.step_);
    state_.retryAt_ = now_ + kRetryDelay;
    effects_.push_back(Count{ Counter::AdviceFailed });
    effects_.push_back(LogLine{
      LogLevel::Warning,
      "advice_failed",
      { { "step", ToString(aFailed.step_) }, { "reason", aFailed.reason_ } } });
  }

  // A worker rejects a ticket that was issued for an earlier incarnation of it.
  void On(const StartCommandCompleted& aResponse)
  {
    const auto* refusal = std::get_if<StartRefusal>(&aResponse.result_);
    if (refusal == nullptr || *refusal != StartRefusal::InvalidTicket) {
      return;
    }
    if (const auto step = state_.steps_.find(StepOf(aResponse.task_));
        step != state_.steps_.end()) {
      step->second.allowed_.erase(aResponse.worker_);
    }
  }

  void On(const OutcomePersisted& aPersisted)
  {
    auto step = state_.steps_.lower_bound(StepId{ aPersisted.job_, {}, {} });
    while (step != state_.steps_.end() && step->first.job_ == aPersisted.job_) {
      step = state_.steps_.erase(step);
    }
  }

  template<typename Other>
  void On(const Other&)
  {
  }

private:
  void SendQueries()
  {
    if (now_ < state_.retryAt_) {
      return;
    }
    for (const AdviceQuery& query : state_.queries_) {
      if (state_.pendingSteps_.size() >= kMaxConcurrentCalls) {
        return;
      }
      RequestAdvice call{ query.step_, {} };
      std::ranges::copy_if(query.workers_,
                           std::back_inserter(call.workers_),
                           [&](const WorkerId& aWorker) {
                             return state_.NeedsAdvice(
                               query.step_, aWorker, now_);
                           });
      if (!call.workers_.empty() &&
          state_.pendingSteps_.insert(query.step_).second) {
        effects_.push_back(std::move(call));
      }
    }
  }

  AdviceState& state_;
  TimePoint now_;
  Effects& effects_;
};

} // namespace

void
ReduceAdvice(AdviceState& aState,
             const Views&,
             const Event& aEvent,
             const Context& aContext,
             Effects& aEffects)
{
  Reducer reducer{ aState, aContext, aEffects };
  std::visit([&](const auto& aKnown) { reducer.On(aKnown); }, aEvent);
}

} // namespace verbenawell::jobs
