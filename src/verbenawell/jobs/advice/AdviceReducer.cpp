#include "verbenawell/jobs/advice/AdviceReducer.h"

#include "verbenawell/jobs/advice/AdviceState.h"

#include <algorithm>
#include <set>
#include <utility>

namespace verbenawell::jobs {

namespace {

using namespace std::chrono_literals;

// The service takes a daemon's calls in turn: the second one waits there, so
// that the service is never idle, and later needs can still overtake the rest.
constexpr std::size_t kMostCalls = 2;
// A service that refuses has 32 calls waiting, some of which are not ours.
constexpr Duration kRetry = 200ms;

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

  void On(const AdviceWanted& aWanted)
  {
    state_.needs_ = aWanted.needs_;
    Ask();
  }

  void On(const AdviceGiven& aGiven)
  {
    state_.asking_.erase(aGiven.step_);
    StepAdvice& step = state_.steps_[aGiven.step_];
    std::set<WorkerId> denied{ aGiven.asked_.begin(), aGiven.asked_.end() };
    for (const Ticket& ticket : aGiven.allowed_) {
      denied.erase(ticket.worker_);
      step.allowed_[ticket.worker_] = { ticket.text_, now_ + aGiven.validity_ };
    }
    step.denied_.merge(denied);
    effects_.push_back(Count{ Counter::AdviceGiven });
    effects_.push_back(
      LogLine{ LogLevel::Info,
               "advice_given",
               { { "step", ToString(aGiven.step_) },
                 { "asked", std::to_string(aGiven.asked_.size()) },
                 { "allowed", std::to_string(aGiven.allowed_.size()) } } });
    effects_.push_back(Raise{ RoomChanged{} });
    Ask();
  }

  void On(const AdviceFailed& aFailed)
  {
    state_.asking_.erase(aFailed.step_);
    state_.retryAt_ = now_ + kRetry;
    effects_.push_back(Count{ Counter::AdviceFailed });
    effects_.push_back(LogLine{
      LogLevel::Warning,
      "advice_failed",
      { { "step", ToString(aFailed.step_) }, { "reason", aFailed.reason_ } } });
  }

  // A ticket that a worker refuses was given for an earlier life of it.
  void On(const StartAnswered& aAnswer)
  {
    const auto* refusal = std::get_if<StartRefusal>(&aAnswer.result_);
    if (refusal == nullptr || *refusal != StartRefusal::Ticket) {
      return;
    }
    if (const auto step = state_.steps_.find(StepOf(aAnswer.task_));
        step != state_.steps_.end()) {
      step->second.allowed_.erase(aAnswer.worker_);
    }
  }

  void On(const OutcomeSaved& aSaved)
  {
    auto step = state_.steps_.lower_bound(StepId{ aSaved.job_, {}, {} });
    while (step != state_.steps_.end() && step->first.job_ == aSaved.job_) {
      step = state_.steps_.erase(step);
    }
  }

  template<typename Other>
  void On(const Other&)
  {
  }

private:
  void Ask()
  {
    if (now_ < state_.retryAt_) {
      return;
    }
    for (const AdviceNeed& need : state_.needs_) {
      if (state_.asking_.size() >= kMostCalls) {
        return;
      }
      AskAdvice ask{ need.step_, {} };
      std::ranges::copy_if(need.workers_,
                           std::back_inserter(ask.workers_),
                           [&](const WorkerId& aWorker) {
                             return state_.IsOpen(need.step_, aWorker, now_);
                           });
      if (!ask.workers_.empty() && state_.asking_.insert(need.step_).second) {
        effects_.push_back(std::move(ask));
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
