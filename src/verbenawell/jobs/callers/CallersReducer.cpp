#include "verbenawell/jobs/callers/CallersReducer.h"

#include "verbenawell/core/Overloaded.h"
#include "verbenawell/jobs/callers/CallersState.h"
#include "verbenawell/jobs/callers/internal/AttemptOutcome.h"
#include "verbenawell/jobs/callers/internal/RequestLogLine.h"
#include "verbenawell/jobs/callers/internal/ResponseMargin.h"
#include "verbenawell/jobs/configuration/ConfigurationState.h"
#include "verbenawell/jobs/journal/JournalState.h"
#include "verbenawell/jobs/ownership/OwnershipState.h"
#include "verbenawell/jobs/workspaces/Access.h"

#include <algorithm>
#include <utility>

namespace verbenawell::jobs {

namespace {

using namespace std::chrono_literals;

constexpr Duration kTickPeriod = 50ms;
constexpr Duration kRetryAfterNoConfiguration = 2s;
// An owner counts as overdue when its last renewal is this old. It renews its
// ownership every second, so the next renewal is missing by then and not only
// delayed.
constexpr Duration kOwnerOverdueAfter = 1800ms;
// Time for which a stopping daemon still accepts requests. The load balancer
// probes the readiness once a second and removes a daemon after two failed
// probes.
constexpr Duration kUnreadyPeriod = 2500ms;
constexpr Duration kStopPoll = 100ms;
// A stopping daemon then responds to all requests that are still open, so that
// none of them is when it exits. It is killed 6 s after the stop signal.
constexpr Duration kLastResponsesAfter = 4500ms;
constexpr Duration kMaxStopTime = 5s;

class Reducer
{
public:
  Reducer(CallersState& aState,
          const Views& aViews,
          const Context& aContext,
          Effects& aEffects)
    : state_(aState)
    , views_(aViews)
    , now_(aContext.now_)
    , effects_(aEffects)
  {
  }

  void On(const StopRequested&)
  {
    state_.isStopping_ = true;
    state_.stopAt_ = now_;
    effects_.push_back(SetReady{ false });
    effects_.push_back(LogLine{ LogLevel::Info, "stop_requested", {} });
    effects_.push_back(SetTimer{ ExitTick{}, kUnreadyPeriod });
  }

  void On(const CallerRequested& aRequest)
  {
    effects_.push_back(Count{ Counter::RequestsReceived });
    auto& open =
      state_.open_
        .insert_or_assign(aRequest.key_,
                          OpenRequest{ aRequest.request_,
                                       now_,
                                       now_ + aRequest.timeLeft_ -
                                         ResponseMargin(aRequest.timeLeft_),
                                       aRequest.forwarded_ })
        .first->second;
    Route(aRequest.key_, open);
    if (state_.isStopping_) {
      Expire();
    }
    if (!state_.isTicking_ && !state_.open_.empty()) {
      state_.isTicking_ = true;
      effects_.push_back(SetTimer{ CallersTick{}, kTickPeriod });
    }
  }

  void On(const CallerDisconnected& aDisconnected)
  {
    state_.open_.erase(aDisconnected.key_);
  }

  void On(const ForwardCompleted& aCompleted)
  {
    const auto found = state_.open_.find(aCompleted.key_);
    if (found == state_.open_.end()) {
      return;
    }
    if (!aCompleted.response_) {
      found->second.stage_ = RequestStage::Waiting;
      if (!aCompleted.wasSent_) {
        --found->second.attemptsWithoutResponse_;
      }
      effects_.push_back(Count{ Counter::ForwardsRepeated });
    } else if (const auto* other =
                 std::get_if<NotOwner>(&*aCompleted.response_)) {
      found->second.stage_ = RequestStage::Waiting;
      if (!other->mayHaveTakenEffect_) {
        --found->second.attemptsWithoutResponse_;
      }
    } else {
      Conclude(aCompleted.key_,
               found->second,
               *aCompleted.response_,
               found->second.attemptsWithoutResponse_ > 1);
    }
  }

  void On(const RequestDecided& aDecided)
  {
    if (const auto found = state_.open_.find(aDecided.key_);
        found != state_.open_.end()) {
      Conclude(aDecided.key_,
               found->second,
               aDecided.response_,
               found->second.attemptsWithoutResponse_ > 1);
    }
  }

  // Requests without a decision are routed to the next owner.
  void On(const OwnershipLost&)
  {
    for (auto& [key, open] : state_.open_) {
      if (open.stage_ == RequestStage::Deciding) {
        open.stage_ = RequestStage::Waiting;
      }
    }
  }

  // A replaced owner may never respond, so requests are sent to its successor.
  // Submissions are not: if the next owner accepted the job and the replaced
  // owner's rejection arrived first, the caller would learn that the job never
  // runs although it does.
  void On(const OwnerChanged&)
  {
    for (auto& [key, open] : state_.open_) {
      if (open.stage_ == RequestStage::Forwarded && !IsSubmission(open)) {
        open.stage_ = RequestStage::Waiting;
      }
    }
    RouteWaiting();
  }

  void On(const JournalLoaded&) { RouteWaiting(); }
  void On(const ConfigurationChanged&) { RouteWaiting(); }

  void On(const TimerDue& aDue)
  {
    std::visit(Overloaded{ [&](const CallersTick&) { Tick(); },
                           [&](const ExitTick&) { ExitIfIdle(); },
                           [](const auto&) {} },
               aDue.key_);
  }

  template<typename Other>
  void On(const Other&)
  {
  }

private:
  void Tick()
  {
    // A daemon that was paused must not send requests whose deadline has
    // passed.
    Expire();
    RouteWaiting();
    state_.isTicking_ = !state_.open_.empty();
    if (state_.isTicking_) {
      effects_.push_back(SetTimer{ CallersTick{}, kTickPeriod });
    }
  }

  void ExitIfIdle()
  {
    if (state_.open_.empty() || now_ - state_.stopAt_ >= kMaxStopTime) {
      effects_.push_back(Exit{});
    } else {
      effects_.push_back(SetTimer{ ExitTick{}, kStopPoll });
    }
  }

  void RouteWaiting()
  {
    std::vector<RequestKey> waiting;
    for (const auto& [key, open] : state_.open_) {
      if (open.stage_ == RequestStage::Waiting) {
        waiting.push_back(key);
      }
    }
    for (const RequestKey key : waiting) {
      if (const auto found = state_.open_.find(key);
          found != state_.open_.end()) {
        Route(key, found->second);
      }
    }
  }

  void Route(RequestKey aKey, OpenRequest& aOpen)
  {
    const auto& configuration = views_.configuration_.configuration_;
    if (!configuration) {
      // A daemon that has just started again still gets the requests that
      // others forward to it as the owner. They have a configuration.
      const CallerResponse response =
        aOpen.forwarded_
          ? CallerResponse{ NotOwner{ aOpen.attemptsWithoutResponse_ > 0 } }
          : JobRejected{ RejectReason::NoConfiguration,
                         kRetryAfterNoConfiguration };
      Respond(aKey, response);
      return;
    }
    const bool hasQueue = !IsBetweenShards(aOpen.request_.action_);
    const Queue* queue = hasQueue ? configuration->Resolve(aOpen.request_.host_,
                                                           aOpen.request_.path_)
                                  : nullptr;
    if (hasQueue && queue == nullptr) {
      // An owner without access to the store may not know a queue yet that the
      // forwarding daemon has already resolved.
      const bool isBehind =
        aOpen.request_.configuration_ > configuration->version_;
      const bool hasAttempt = aOpen.attemptsWithoutResponse_ > 0;
      Conclude(aKey,
               aOpen,
               isBehind ? CallerResponse{ NotOwner{ hasAttempt } }
                        : CallerResponse{ QueueUnknown{} },
               hasAttempt);
      return;
    }
    // The daemon that received the request has checked its key.
    if (queue != nullptr && !aOpen.forwarded_) {
      const Access access =
        CheckAccess(*queue, *configuration, aOpen.request_.credential_);
      if (const auto* denial = std::get_if<AccessDenial>(&access)) {
        Deny(aKey, aOpen, *denial);
        return;
      }
      aOpen.request_.workspace_ = std::get<AccessGranted>(access).workspace_;
    }
    aOpen.request_.configuration_ = configuration->version_;
    if (views_.ownership_.AsOwner() != nullptr) {
      if (views_.journal_.IsReady()) {
        aOpen.stage_ = RequestStage::Deciding;
        aOpen.sentTo_ = views_.ownership_.self_.daemon_;
        ++aOpen.attemptsWithoutResponse_;
        effects_.push_back(Raise{
          OwnerRequestReceived{ aKey,
                                queue == nullptr ? QueueId{} : queue->id_,
                                aOpen.request_.action_,
                                aOpen.request_.workspace_ } });
      }
      return;
    }
    if (aOpen.forwarded_) {
      Respond(aKey, NotOwner{ aOpen.attemptsWithoutResponse_ > 0 });
      return;
    }
    Forward(aKey, aOpen);
  }

  void Deny(RequestKey aKey, OpenRequest& aOpen, AccessDenial aDenial)
  {
    effects_.push_back(Count{ aDenial });
    Conclude(aKey, aOpen, KeyRejected{}, aOpen.attemptsWithoutResponse_ > 0);
  }

  void Forward(RequestKey aKey, OpenRequest& aOpen)
  {
    const auto& owner = views_.ownership_.owner_;
    if (!owner || owner->resigned_ ||
        owner->daemon_ == views_.ownership_.self_.daemon_) {
      return;
    }
    // If an owner fails after it got a submission, the outcome is unknown and
    // the caller cannot repeat the submission. So it waits while the owner's
    // renewal is overdue.
    if (IsSubmission(aOpen) &&
        now_ - views_.ownership_.renewedAt_ >= kOwnerOverdueAfter) {
      return;
    }
    aOpen.stage_ = RequestStage::Forwarded;
    aOpen.sentTo_ = owner->daemon_;
    ++aOpen.attemptsWithoutResponse_;
    effects_.push_back(Count{ Counter::RequestsForwarded });
    effects_.push_back(ForwardRequest{
      aKey, owner->address_, aOpen.request_, aOpen.deadline_ - now_ });
  }

  [[nodiscard]] bool EndsWithoutOwner(const OpenRequest& aOpen) const
  {
    if (state_.isStopping_ && (now_ - state_.stopAt_ >= kLastResponsesAfter ||
                               (aOpen.stage_ == RequestStage::Waiting &&
                                IsOwnerMissing(views_.ownership_, now_)))) {
      return true;
    }
    return IsUnsentSubmission(aOpen) &&
           (now_ >= aOpen.deadline_ ||
            now_ - aOpen.arrivedAt_ >= kNoOwnerTimeout);
  }

  void Expire()
  {
    std::vector<std::pair<RequestKey, CallerResponse>> expired;
    for (const auto& [key, open] : state_.open_) {
      if (now_ >= open.deadline_ && !IsUnsentSubmission(open)) {
        expired.emplace_back(key, OutcomeUnknown{});
      } else if (EndsWithoutOwner(open)) {
        expired.emplace_back(key, ResponseWithoutOwner(open));
      }
    }
    for (const auto& [key, response] : expired) {
      if (std::holds_alternative<OutcomeUnknown>(response)) {
        effects_.push_back(Count{ Counter::RequestsTimedOut });
      }
      Respond(key, response);
    }
  }

  void Conclude(RequestKey aKey,
                OpenRequest& aOpen,
                const CallerResponse& aResponse,
                bool aHasEarlierAttempt)
  {
    if (const auto* rejected = std::get_if<JobRejected>(&aResponse);
        rejected != nullptr && IsSubmission(aOpen) && aHasEarlierAttempt) {
      LogRequest(
        "attempt_rejected", aOpen, std::string(ToString(rejected->reason_)));
    }
    std::visit(Overloaded{ [&](const PassOn& aPassOn) {
                            Respond(aKey, aPassOn.response_);
                          },
                           [&](const SendAgain&) {
                             --aOpen.attemptsWithoutResponse_;
                             aOpen.stage_ = RequestStage::Waiting;
                           } },
               OutcomeOf(aOpen, aResponse, aHasEarlierAttempt));
  }

  /// Passes a request on to the shard that its job was handed over to.
  void Redirect(RequestKey aKey, OpenRequest& aOpen, ShardIndex aShard)
  {
    // A job is handed over once.
    if (aOpen.request_.isRedirected_) {
      Respond(aKey, OutcomeUnknown{});
      return;
    }
    RedirectRequest redirect{ aKey, aOpen.request_, aOpen.deadline_ - now_ };
    redirect.request_.shard_ = aShard;
    redirect.request_.isRedirected_ = true;
    state_.open_.erase(aKey);
    effects_.push_back(std::move(redirect));
  }

  void Respond(RequestKey aKey, const CallerResponse& aResponse)
  {
    const auto found = state_.open_.find(aKey);
    if (const auto* other = std::get_if<OtherShard>(&aResponse);
        other != nullptr && !found->second.forwarded_) {
      Redirect(aKey, found->second, other->shard_);
      return;
    }
    if (const auto* rejected = std::get_if<JobRejected>(&aResponse)) {
      effects_.push_back(Count{ rejected->reason_ });
      LogRequest("request_failed",
                 found->second,
                 std::string(ToString(rejected->reason_)));
    } else if (std::holds_alternative<OutcomeUnknown>(aResponse)) {
      LogRequest("request_failed",
                 found->second,
                 now_ >= found->second.deadline_
                   ? "no response from the owner before the deadline"
                   : "an attempt without a response may have taken effect");
    }
    if (IsSubmission(found->second)) {
      effects_.push_back(
        Observe{ LatencyMetric::Accept, now_ - found->second.arrivedAt_ });
    }
    effects_.push_back(SendResponse{ aKey, aResponse });
    state_.open_.erase(found);
  }

  void LogRequest(const char* aEvent,
                  const OpenRequest& aOpen,
                  const std::string& aReason)
  {
    effects_.push_back(
      RequestLogLine(aEvent, aOpen, aReason, views_.ownership_, now_));
  }

  CallersState& state_;
  const Views& views_;
  TimePoint now_;
  Effects& effects_;
};

} // namespace

void
ReduceCallers(CallersState& aState,
              const Views& aViews,
              const Event& aEvent,
              const Context& aContext,
              Effects& aEffects)
{
  Reducer reducer{ aState, aViews, aContext, aEffects };
  std::visit([&](const auto& aKnown) { reducer.On(aKnown); }, aEvent);
}

} // namespace verbenawell::jobs
