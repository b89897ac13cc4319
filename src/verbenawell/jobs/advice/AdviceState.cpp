#include "verbenawell/jobs/advice/AdviceState.h"

namespace verbenawell::jobs {

namespace {

using namespace std::chrono_literals;

// Longest time until a start command is persisted, sent and read by the worker.
// The ticket has to be valid until then.
constexpr Duration kMaxCommandDelay = 250ms;

} // namespace

const CachedTicket*
AdviceState::Find(const StepId& aStep,
                  const WorkerId& aWorker,
                  TimePoint aNow) const
{
  const auto step = steps_.find(aStep);
  if (step == steps_.end()) {
    return nullptr;
  }
  const auto ticket = step->second.allowed_.find(aWorker);
  return ticket == step->second.allowed_.end() ||
             aNow + kMaxCommandDelay >= ticket->second.validUntil_
           ? nullptr
           : &ticket->second;
}

bool
AdviceState::NeedsAdvice(const StepId& aStep,
                         const WorkerId& aWorker,
                         TimePoint aNow) const
{
  const auto step = steps_.find(aStep);
  return step == steps_.end() || (!step->second.denied_.contains(aWorker) &&
                                  Find(aStep, aWorker, aNow) == nullptr);
}

} // namespace verbenawell::jobs
