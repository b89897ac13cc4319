#include "verbenawell/requests/EntryReducer.h"

#include "verbenawell/core/Overloaded.h"
#include "verbenawell/fleet/FleetState.h"
#include "verbenawell/membership/Ownership.h"
#include "verbenawell/requests/RequestsState.h"
#include "verbenawell/requests/internal/EntryActions.h"

#include <algorithm>
#include <utility>

namespace verbenawell {

namespace {

constexpr Duration kTickInterval = std::chrono::milliseconds(100);
constexpr Duration kRetryAfter = std::chrono::seconds(1);
// Longest wait of a request for a pool without an owner. Membership detects a
// dead owner within 2 s.
constexpr Duration kMaxWaitForOwner = std::chrono::seconds(2);
constexpr std::size_t kMaxAttempts = 3;

// Maximum number of idle connections that all daemons together keep to a
// backend server. It accepts 64 connections; 8 are left for its running
// attempts.
constexpr std::size_t kIdleConnections = 64 - 8;

using Verdict = std::variant<NotRun, MayHaveRun>;

/// What an attempt without a complete response means for its request.
struct Failure
{
  /// The request may run again on another worker.
  bool mayRepeat_ = false;
  RetryReason reason_ = RetryReason::ConnectFailed;
  /// Response to the caller if the request is not retried.
  Verdict verdict_;
};

Failure
NotRunFailure(RetryReason aReason)
{
  return { true,
           aReason,
           NotRun{ RefusalReason::RetriesExhausted, kRetryAfter } };
}

class Reducer
{
public:
  Reducer(RequestsState& aRequests,
          const Views& aViews,
          const Context& aContext,
          Effects& aEffects)
    : requests_(aRequests)
    , entry_(aRequests.entry_)
    , views_(aViews)
    , context_(aContext)
    , effects_(aEffects)
    , actions_(aRequests, aViews, aContext, aEffects)
  {
  }

  void operator()(const Started&)
  {
    effects_.emplace_back(SetTimer{ EntryTick{}, kTickInterval });
    UpdateIdleConnectionLimit();
  }

  void operator()(const StopRequested&)
  {
    requests_.stopping_ = true;
    actions_.ExitIfIdle();
  }

  void operator()(const TimerDue& aEvent)
  {
    if (std::holds_alternative<EntryTick>(aEvent.key_)) {
      Expire();
      RetryWithoutOwner();
      effects_.emplace_back(SetTimer{ EntryTick{}, kTickInterval });
    }
  }

  void operator()(const RequestArrived& aEvent)
  {
    effects_.emplace_back(Count{ Counter::RequestsReceived });
    if (requests_.stopping_) {
      actions_.Refuse(aEvent.key_,
                      NotRun{ RefusalReason::Draining, kRetryAfter });
      return;
    }
    actions_.Add(aEvent.key_, aEvent.head_);
  }

  void operator()(const CallerDisconnected& aEvent)
  {
    const EntryRequest* request = actions_.Find(aEvent.key_);
    if (request == nullptr) {
      return;
    }
    std::visit(Overloaded{
                 [&](const WaitingForSlot& aPhase) {
                   actions_.Withdraw(aEvent.key_, aPhase);
                 },
                 [](const WaitingForOwner&) {},
                 [&](const RunningOnWorker& aPhase) {
                   effects_.emplace_back(
                     CancelAttempt{ aEvent.key_, aPhase.grant_.attempt_ });
                   actions_.Release(aPhase, Cancelled{});
                 },
               },
               request->phase_);
    actions_.Cancel(aEvent.key_);
  }

  void operator()(const AttemptEnded& aEvent)
  {
    EntryRequest* request = actions_.Find(aEvent.key_);
    const auto* running = request == nullptr
                            ? nullptr
                            : std::get_if<RunningOnWorker>(&request->phase_);
    if (running == nullptr || running->grant_.attempt_ != aEvent.attempt_) {
      return;
    }
    actions_.Release(*running, aEvent.outcome_);
    request->tried_.push_back(running->grant_.vm_);
    HandleOutcome(aEvent.key_, *request, aEvent.outcome_);
  }

  void operator()(const MembersChanged&)
  {
    RequestSlotsFromNewOwners();
    UpdateIdleConnectionLimit();
  }

  void operator()(const FleetChanged& aEvent)
  {
    const bool services =
      std::ranges::any_of(aEvent.subjects_, [](const Subject& aSubject) {
        return std::holds_alternative<ServiceId>(aSubject);
      });
    if (services) {
      RequestSlotsFromNewOwners();
    }
  }

  void operator()(const PeerMessageReceived& aEvent)
  {
    std::visit(
      Overloaded{
        [&](const SlotGrant& aGrant) { HandleGrant(aEvent.from_, aGrant); },
        [&](const SlotRefusal& aRefusal) {
          HandleRefusal(aEvent.from_, aRefusal);
        },
        [&](const OwnerAnnounce& aAnnounce) {
          HandleAnnounce(aEvent.from_, aAnnounce);
        },
        [](const auto&) {},
      },
      aEvent.message_);
  }

  void operator()(const auto&) {}

private:
  void UpdateIdleConnectionLimit()
  {
    const std::size_t daemons = LiveMembers(views_.membership_).size();
    effects_.emplace_back(LimitIdleConnections{
      kIdleConnections / std::max<std::size_t>(1, daemons) });
  }

  [[nodiscard]] static bool IsWaitingAt(const EntryRequest* aRequest,
                                        const DaemonId& aOwner)
  {
    const auto* waiting = aRequest == nullptr
                            ? nullptr
                            : std::get_if<WaitingForSlot>(&aRequest->phase_);
    return waiting != nullptr && waiting->owner_ == aOwner;
  }

  void HandleGrant(const DaemonId& aOwner, const SlotGrant& aGrant)
  {
    EntryRequest* request = actions_.Find(aGrant.key_);
    if (!IsWaitingAt(request, aOwner)) {
      actions_.ReturnUnused(aOwner, aGrant);
      return;
    }
    const bool current =
      aGrant.epoch_ >= entry_.pools_[aGrant.pool_].highestEpoch_ &&
      OwnerOfPool(views_.membership_, aGrant.pool_) == aOwner;
    if (!current) {
      actions_.ReturnUnused(aOwner, aGrant);
      actions_.WaitForOwner(aGrant.key_, *request);
      return;
    }
    if (actions_.TimeLeft(*request) <= Duration::zero()) {
      actions_.ReturnUnused(aOwner, aGrant);
      actions_.Refuse(aGrant.key_, NotRun{ RefusalReason::Deadline });
      return;
    }
    actions_.Start(aGrant.key_, *request, aOwner, aGrant);
  }

  // A daemon that does not own the pool by its own view of the membership
  // refuses with `NoOwner`. The request waits until the views agree.
  void HandleRefusal(const DaemonId& aOwner, const SlotRefusal& aRefusal)
  {
    EntryRequest* request = actions_.Find(aRefusal.key_);
    if (!IsWaitingAt(request, aOwner)) {
      return;
    }
    const auto* notRun = std::get_if<NotRun>(&aRefusal.verdict_);
    if (notRun != nullptr && notRun->reason_ == RefusalReason::NoOwner) {
      actions_.WaitForOwner(aRefusal.key_, *request);
      return;
    }
    actions_.Refuse(aRefusal.key_, aRefusal.verdict_);
  }

  void HandleAnnounce(const DaemonId& aOwner, const OwnerAnnounce& aAnnounce)
  {
    PoolEpoch& highest = entry_.pools_[aAnnounce.pool_].highestEpoch_;
    highest = std::max(highest, aAnnounce.epoch_);
    OwnerReport report{ aAnnounce.pool_, highest, {} };
    for (auto& [key, request] : entry_.requests_) {
      auto* running = std::get_if<RunningOnWorker>(&request.phase_);
      if (running == nullptr || running->grant_.pool_ != aAnnounce.pool_) {
        continue;
      }
      if (aAnnounce.epoch_ == highest) {
        running->owner_ = aOwner;
      }
      const SlotGrant& grant = running->grant_;
      report.running_.push_back({ key,
                                  request.head_.id_,
                                  grant.attempt_,
                                  grant.epoch_,
                                  grant.vm_,
                                  request.head_.team_,
                                  request.head_.urgency_,
                                  request.head_.service_,
                                  request.head_.declared_ });
    }
    effects_.emplace_back(SendPeer{ aOwner, std::move(report) });
  }

  void HandleOutcome(RequestKey aKey,
                     EntryRequest& aRequest,
                     const AttemptOutcome& aOutcome)
  {
    const bool idempotent = aRequest.head_.idempotent_;
    std::visit(
      Overloaded{
        [&](const CompleteResponse&) { actions_.Respond(aKey, aRequest); },
        [&](const NotSent&) {
          Fail(aKey, aRequest, NotRunFailure(RetryReason::ConnectFailed));
        },
        [&](const RefusedByWorker&) {
          Fail(aKey, aRequest, NotRunFailure(RetryReason::WorkerRefused));
        },
        [&](const TruncatedResponse&) {
          Fail(aKey,
               aRequest,
               { idempotent,
                 RetryReason::IdempotentConnectionLost,
                 MayHaveRun{ UnknownReason::BackendConnectionLost } });
        },
        [&](const ResponseTimeout&) {
          Fail(aKey,
               aRequest,
               { idempotent,
                 RetryReason::IdempotentTimeout,
                 MayHaveRun{ UnknownReason::BackendTimeout } });
        },
        [&](const OversizeResponse&) {
          actions_.Refuse(aKey, MayHaveRun{ UnknownReason::BackendOversize });
        },
        [&](const Cancelled&) {
          actions_.Refuse(aKey,
                          MayHaveRun{ UnknownReason::BackendConnectionLost });
        },
        // A slot is returned as `Unused` only if no attempt was started.
        [](const Unused&) {},
      },
      aOutcome);
  }

  void Fail(RequestKey aKey, EntryRequest& aRequest, const Failure& aFailure)
  {
    if (const auto* mayHaveRun = std::get_if<MayHaveRun>(&aFailure.verdict_)) {
      aRequest.mayHaveRun_ = *mayHaveRun;
    }
    const bool inTime = actions_.TimeLeft(aRequest) > Duration::zero();
    if (!aFailure.mayRepeat_ || !inTime ||
        aRequest.tried_.size() >= kMaxAttempts) {
      actions_.Refuse(aKey, aFailure.verdict_);
      return;
    }
    if (!entry_.retryBudget_.Spend()) {
      effects_.emplace_back(Count{ Counter::RetryBudgetExhausted });
      actions_.Refuse(aKey, aFailure.verdict_);
      return;
    }
    effects_.emplace_back(Count{ aFailure.reason_ });
    actions_.RequestSlot(aKey, aRequest);
  }

  void RequestSlotsFromNewOwners()
  {
    std::vector<RequestKey> moved;
    for (const auto& [key, request] : entry_.requests_) {
      const auto* waiting = std::get_if<WaitingForSlot>(&request.phase_);
      const PoolId* pool = actions_.PoolOf(request);
      if (waiting != nullptr &&
          (pool == nullptr || *pool != waiting->pool_ ||
           OwnerOfPool(views_.membership_, *pool) != waiting->owner_)) {
        moved.push_back(key);
      }
    }
    for (const RequestKey key : moved) {
      EntryRequest& request = *actions_.Find(key);
      actions_.Withdraw(key, std::get<WaitingForSlot>(request.phase_));
      effects_.emplace_back(Count{ RetryReason::OwnerChanged });
      actions_.RequestSlot(key, request);
    }
    RetryWithoutOwner();
  }

  void RetryWithoutOwner()
  {
    const std::vector<RequestKey> keys{ entry_.waitingForOwner_.begin(),
                                        entry_.waitingForOwner_.end() };
    for (const RequestKey key : keys) {
      EntryRequest& request = *actions_.Find(key);
      if (context_.now_ - request.waitingForOwnerSince_ >= kMaxWaitForOwner) {
        actions_.Refuse(key, NotRun{ RefusalReason::NoOwner, kRetryAfter });
      } else {
        actions_.RequestSlot(key, request);
      }
    }
  }

  void Expire()
  {
    while (!entry_.deadlines_.empty() &&
           entry_.deadlines_.begin()->first <= context_.now_) {
      const RequestKey key = entry_.deadlines_.begin()->second;
      entry_.deadlines_.erase(entry_.deadlines_.begin());
      Expire(key, *actions_.Find(key));
    }
  }

  // A backend server that sends single bytes slowly never exceeds a time limit
  // on reads, so the attempt is cancelled at the request's deadline.
  void Expire(RequestKey aKey, EntryRequest& aRequest)
  {
    if (const auto* running = std::get_if<RunningOnWorker>(&aRequest.phase_)) {
      effects_.emplace_back(CancelAttempt{ aKey, running->grant_.attempt_ });
      return;
    }
    if (const auto* waiting = std::get_if<WaitingForSlot>(&aRequest.phase_)) {
      actions_.Withdraw(aKey, *waiting);
    }
    const RefusalReason reason = entry_.waitingForOwner_.contains(aKey)
                                   ? RefusalReason::NoOwner
                                   : RefusalReason::Deadline;
    actions_.Refuse(aKey, NotRun{ reason, kRetryAfter });
  }

  RequestsState& requests_;
  EntryState& entry_;
  const Views& views_;
  const Context& context_;
  Effects& effects_;
  EntryActions actions_;
};

} // namespace

void
ReduceEntry(RequestsState& aRequests,
            const Views& aViews,
            const Event& aEvent,
            const Context& aContext,
            Effects& aEffects)
{
  std::visit(Reducer{ aRequests, aViews, aContext, aEffects }, aEvent);
}

} // namespace verbenawell
