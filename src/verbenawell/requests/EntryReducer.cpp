#include "verbenawell/requests/EntryReducer.h"

#include "verbenawell/core/Overloaded.h"
#include "verbenawell/fleet/FleetState.h"
#include "verbenawell/membership/Ownership.h"
#include "verbenawell/requests/RequestsState.h"

#include <algorithm>
#include <utility>

namespace verbenawell {

namespace {

constexpr Duration kExpiryInterval = std::chrono::milliseconds(100);
constexpr Duration kNoOwnerRetryAfter = std::chrono::seconds(1);
constexpr std::size_t kMaxAttempts = 3;

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
  {
  }

  void operator()(const Started&)
  {
    effects_.emplace_back(SetTimer{ EntryTick{}, kExpiryInterval });
  }

  void operator()(const StopRequested&)
  {
    requests_.stopping_ = true;
    ExitIfIdle();
  }

  void operator()(const TimerDue& aEvent)
  {
    if (!std::holds_alternative<EntryTick>(aEvent.key_)) {
      return;
    }
    ExpireWaiting();
    effects_.emplace_back(SetTimer{ EntryTick{}, kExpiryInterval });
  }

  void operator()(const RequestArrived& aEvent)
  {
    effects_.emplace_back(Count{ Counter::RequestsReceived });
    if (requests_.stopping_) {
      Refuse(aEvent.key_,
             NotRun{ RefusalReason::Draining, kNoOwnerRetryAfter });
      return;
    }
    EntryRequest& request = entry_.requests_[aEvent.key_];
    request.head_ = aEvent.head_;
    request.arrivedAt_ = context_.now_;
    AskForSlot(aEvent.key_, request);
  }

  void operator()(const CallerGone& aEvent)
  {
    const auto found = entry_.requests_.find(aEvent.key_);
    if (found == entry_.requests_.end()) {
      return;
    }
    effects_.emplace_back(Count{ Counter::RequestsCancelled });
    std::visit(
      Overloaded{
        [&](const WaitingForSlot& aPhase) { Withdraw(aEvent.key_, aPhase); },
        [&](const RunningOnWorker& aPhase) {
          effects_.emplace_back(
            CancelAttempt{ aEvent.key_, aPhase.grant_.attempt_ });
          Release(aEvent.key_, aPhase, Cancelled{});
        },
      },
      found->second.phase_);
    Forget(aEvent.key_);
  }

  void operator()(const AttemptEnded& aEvent)
  {
    const auto found = entry_.requests_.find(aEvent.key_);
    if (found == entry_.requests_.end()) {
      return;
    }
    const auto* running = std::get_if<RunningOnWorker>(&found->second.phase_);
    if (running == nullptr || running->grant_.attempt_ != aEvent.attempt_) {
      return;
    }
    Release(aEvent.key_, *running, aEvent.outcome_);
    found->second.tried_.push_back(running->grant_.vm_);
    Settle(aEvent.key_, found->second, aEvent.outcome_);
  }

  void operator()(const PeerMessageReceived& aEvent)
  {
    if (const auto* grant = std::get_if<SlotGrant>(&aEvent.message_)) {
      Start(aEvent.from_, *grant);
    } else if (const auto* refusal =
                 std::get_if<SlotRefusal>(&aEvent.message_)) {
      if (IsWaiting(refusal->key_)) {
        std::visit(
          [&](const auto& aVerdict) { Refuse(refusal->key_, aVerdict); },
          refusal->verdict_);
      }
    }
  }

  void operator()(const auto&) {}

private:
  [[nodiscard]] bool IsWaiting(RequestKey aKey) const
  {
    const auto found = entry_.requests_.find(aKey);
    return found != entry_.requests_.end() &&
           std::holds_alternative<WaitingForSlot>(found->second.phase_);
  }

  [[nodiscard]] Duration TimeLeft(const EntryRequest& aRequest) const
  {
    return aRequest.arrivedAt_ + aRequest.head_.deadline_ - context_.now_;
  }

  void AskForSlot(RequestKey aKey, EntryRequest& aRequest)
  {
    const auto service = views_.fleet_.services_.find(aRequest.head_.service_);
    if (service == views_.fleet_.services_.end()) {
      Refuse(aKey, NotRun{ RefusalReason::UnknownService });
      return;
    }
    const PoolId& pool = service->second.pool_;
    const DaemonId owner = OwnerOfPool(views_.membership_, pool);
    if (owner.IsEmpty()) {
      Refuse(aKey, NotRun{ RefusalReason::NoOwner, kNoOwnerRetryAfter });
      return;
    }
    aRequest.phase_ = WaitingForSlot{ owner, pool };
    SlotRequest message{ aKey, aRequest.head_, aRequest.tried_ };
    message.head_.deadline_ = TimeLeft(aRequest);
    effects_.emplace_back(SendPeer{ owner, std::move(message) });
  }

  void Start(const DaemonId& aOwner, const SlotGrant& aGrant)
  {
    const auto found = entry_.requests_.find(aGrant.key_);
    const bool wanted =
      IsWaiting(aGrant.key_) &&
      std::get<WaitingForSlot>(found->second.phase_).owner_ == aOwner;
    if (!wanted) {
      effects_.emplace_back(Count{ Counter::GrantsReturnedUnused });
      Release(aGrant.key_, { aOwner, aGrant, context_.now_ }, NotSent{});
      return;
    }
    EntryRequest& request = found->second;
    request.phase_ = RunningOnWorker{ aOwner, aGrant, context_.now_ };
    effects_.emplace_back(StartAttempt{ aGrant.key_,
                                        aGrant.attempt_,
                                        aGrant.vm_,
                                        aGrant.address_,
                                        TimeLeft(request) });
  }

  void Settle(RequestKey aKey,
              EntryRequest& aRequest,
              const AttemptOutcome& aOutcome)
  {
    const bool idempotent = aRequest.head_.idempotent_;
    std::visit(
      Overloaded{
        [&](const WholeAnswer&) { Answer(aKey, aRequest); },
        [&](const NotSent&) {
          Retry(aKey,
                aRequest,
                RetryReason::ConnectFailed,
                NotRun{ RefusalReason::RetriesExhausted, kNoOwnerRetryAfter });
        },
        [&](const RefusedByWorker&) {
          Retry(aKey,
                aRequest,
                RetryReason::WorkerRefused,
                NotRun{ RefusalReason::RetriesExhausted, kNoOwnerRetryAfter });
        },
        [&](const CutAnswer&) {
          const MayHaveRun verdict{ UnknownReason::BackendCut };
          idempotent
            ? Retry(aKey, aRequest, RetryReason::IdempotentCut, verdict)
            : Refuse(aKey, verdict);
        },
        [&](const LateAnswer&) {
          const MayHaveRun verdict{ UnknownReason::BackendTimeout };
          idempotent
            ? Retry(aKey, aRequest, RetryReason::IdempotentTimeout, verdict)
            : Refuse(aKey, verdict);
        },
        [&](const OversizeAnswer&) {
          Refuse(aKey, MayHaveRun{ UnknownReason::BackendOversize });
        },
        [&](const Cancelled&) { Forget(aKey); },
      },
      aOutcome);
  }

  void Answer(RequestKey aKey, const EntryRequest& aRequest)
  {
    effects_.emplace_back(Count{ Counter::RequestsAnswered });
    effects_.emplace_back(Observe{ LatencyMetric::RequestTime,
                                   context_.now_ - aRequest.arrivedAt_ });
    effects_.emplace_back(ForwardAnswer{ aKey });
    Forget(aKey);
  }

  template<typename Verdict>
  void Retry(RequestKey aKey,
             EntryRequest& aRequest,
             RetryReason aReason,
             const Verdict& aVerdict)
  {
    if (aRequest.tried_.size() >= kMaxAttempts ||
        TimeLeft(aRequest) <= Duration::zero()) {
      Refuse(aKey, aVerdict);
      return;
    }
    effects_.emplace_back(Count{ aReason });
    AskForSlot(aKey, aRequest);
  }

  template<typename Verdict>
  void Refuse(RequestKey aKey, const Verdict& aVerdict)
  {
    effects_.emplace_back(Count{ aVerdict.reason_ });
    effects_.emplace_back(RefuseCaller{ aKey, aVerdict });
    Forget(aKey);
  }

  void Withdraw(RequestKey aKey, const WaitingForSlot& aPhase)
  {
    effects_.emplace_back(
      SendPeer{ aPhase.owner_, SlotCancel{ aKey, aPhase.pool_ } });
  }

  void Release(RequestKey aKey,
               const RunningOnWorker& aPhase,
               const AttemptOutcome& aOutcome)
  {
    const SlotGrant& grant = aPhase.grant_;
    effects_.emplace_back(
      SendPeer{ aPhase.owner_,
                SlotRelease{ aKey,
                             grant.attempt_,
                             grant.pool_,
                             grant.term_,
                             grant.vm_,
                             aOutcome,
                             context_.now_ - aPhase.startedAt_ } });
  }

  void ExpireWaiting()
  {
    std::vector<RequestKey> expired;
    for (const auto& [key, request] : entry_.requests_) {
      if (std::holds_alternative<WaitingForSlot>(request.phase_) &&
          TimeLeft(request) <= Duration::zero()) {
        expired.push_back(key);
      }
    }
    for (const RequestKey key : expired) {
      Withdraw(key, std::get<WaitingForSlot>(entry_.requests_.at(key).phase_));
      Refuse(key, NotRun{ RefusalReason::Deadline });
    }
  }

  void Forget(RequestKey aKey)
  {
    entry_.requests_.erase(aKey);
    ExitIfIdle();
  }

  void ExitIfIdle()
  {
    if (requests_.stopping_ && entry_.requests_.empty()) {
      effects_.emplace_back(Raise{ Finished{} });
    }
  }

  RequestsState& requests_;
  EntryState& entry_;
  const Views& views_;
  const Context& context_;
  Effects& effects_;
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
