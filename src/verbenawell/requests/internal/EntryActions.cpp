#include "verbenawell/requests/internal/EntryActions.h"

#include "verbenawell/fleet/FleetState.h"
#include "verbenawell/membership/Ownership.h"
#include "verbenawell/requests/RequestsState.h"

#include <utility>

namespace verbenawell {

namespace {

// A `NoOwner` refusal within this time shows that the daemon did not own the
// pool when the request arrived there.
constexpr Duration kPromptResponseTime = std::chrono::milliseconds(500);

} // namespace

EntryActions::EntryActions(RequestsState& aRequests,
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

EntryRequest*
EntryActions::Find(RequestKey aKey)
{
  const auto found = entry_.requests_.find(aKey);
  return found == entry_.requests_.end() ? nullptr : &found->second;
}

Duration
EntryActions::TimeLeft(const EntryRequest& aRequest) const
{
  return aRequest.arrivedAt_ + aRequest.head_.deadline_ - context_.now_;
}

const PoolId*
EntryActions::PoolOf(const EntryRequest& aRequest) const
{
  const auto service = views_.fleet_.services_.find(aRequest.head_.service_);
  return service == views_.fleet_.services_.end() ? nullptr
                                                  : &service->second.pool_;
}

void
EntryActions::Add(RequestKey aKey, const RequestHead& aHead)
{
  EntryRequest& request = entry_.requests_[aKey];
  request.head_ = aHead;
  request.arrivedAt_ = context_.now_;
  entry_.deadlines_.emplace(context_.now_ + aHead.deadline_, aKey);
  entry_.retryBudget_.Earn();
  RequestSlot(aKey, request);
}

void
EntryActions::RequestSlot(RequestKey aKey, EntryRequest& aRequest)
{
  const PoolId* pool = PoolOf(aRequest);
  if (pool == nullptr) {
    Refuse(aKey, NotRun{ RefusalReason::UnknownService });
    return;
  }
  const DaemonId owner = OwnerOfPool(views_.membership_, *pool);
  if (owner.IsEmpty()) {
    WaitForOwner(aKey, aRequest);
    return;
  }
  entry_.waitingForOwner_.erase(aKey);
  aRequest.phase_ = WaitingForSlot{ owner, *pool };
  aRequest.slotRequestedAt_ = context_.now_;
  SlotRequest message{ aKey, aRequest.head_, aRequest.tried_ };
  message.head_.deadline_ = TimeLeft(aRequest);
  effects_.emplace_back(SendPeer{ owner, std::move(message) });
}

void
EntryActions::WaitForOwner(RequestKey aKey, EntryRequest& aRequest)
{
  // The time limit starts anew if an owner had queued the request for a while
  // before it lost the pool.
  if (aRequest.waitingForOwnerSince_ == TimePoint{} ||
      context_.now_ - aRequest.slotRequestedAt_ > kPromptResponseTime) {
    aRequest.waitingForOwnerSince_ = context_.now_;
  }
  aRequest.phase_ = WaitingForOwner{};
  entry_.waitingForOwner_.insert(aKey);
}

void
EntryActions::Withdraw(RequestKey aKey, const WaitingForSlot& aPhase)
{
  effects_.emplace_back(
    SendPeer{ aPhase.owner_, SlotCancel{ aKey, aPhase.pool_ } });
}

void
EntryActions::Start(RequestKey aKey,
                    EntryRequest& aRequest,
                    const DaemonId& aOwner,
                    const SlotGrant& aGrant)
{
  aRequest.phase_ = RunningOnWorker{ aOwner, aGrant, context_.now_ };
  effects_.emplace_back(StartAttempt{
    aKey, aGrant.attempt_, aGrant.vm_, aGrant.address_, TimeLeft(aRequest) });
}

void
EntryActions::Release(const RunningOnWorker& aPhase,
                      const AttemptOutcome& aOutcome)
{
  const SlotGrant& grant = aPhase.grant_;
  effects_.emplace_back(
    SendPeer{ aPhase.owner_,
              SlotRelease{ grant.key_,
                           grant.attempt_,
                           grant.pool_,
                           grant.epoch_,
                           grant.vm_,
                           aOutcome,
                           context_.now_ - aPhase.startedAt_ } });
}

void
EntryActions::ReturnUnused(const DaemonId& aOwner, const SlotGrant& aGrant)
{
  effects_.emplace_back(Count{ Counter::GrantsReturnedUnused });
  Release({ aOwner, aGrant, context_.now_ }, Unused{});
}

void
EntryActions::Respond(RequestKey aKey, const EntryRequest& aRequest)
{
  effects_.emplace_back(Count{ Counter::ResponsesForwarded });
  effects_.emplace_back(
    Observe{ LatencyMetric::RequestTime, context_.now_ - aRequest.arrivedAt_ });
  effects_.emplace_back(ForwardResponse{ aKey });
  Remove(aKey);
}

void
EntryActions::Refuse(RequestKey aKey,
                     const std::variant<NotRun, MayHaveRun>& aVerdict)
{
  std::variant<NotRun, MayHaveRun> verdict = aVerdict;
  if (const EntryRequest* request = Find(aKey);
      request != nullptr && request->mayHaveRun_.has_value()) {
    verdict = *request->mayHaveRun_;
  }
  std::visit(
    [&](const auto& aReason) {
      effects_.emplace_back(Count{ aReason.reason_ });
    },
    verdict);
  effects_.emplace_back(RefuseCaller{ aKey, verdict });
  Remove(aKey);
}

void
EntryActions::Cancel(RequestKey aKey)
{
  effects_.emplace_back(Count{ Counter::RequestsCancelled });
  Remove(aKey);
}

void
EntryActions::ExitIfIdle()
{
  if (requests_.stopping_ && entry_.requests_.empty()) {
    effects_.emplace_back(Raise{ RequestsDrained{} });
  }
}

void
EntryActions::Remove(RequestKey aKey)
{
  if (const auto found = entry_.requests_.find(aKey);
      found != entry_.requests_.end()) {
    entry_.deadlines_.erase(
      { found->second.arrivedAt_ + found->second.head_.deadline_, aKey });
    entry_.waitingForOwner_.erase(aKey);
    entry_.requests_.erase(found);
  }
  ExitIfIdle();
}

} // namespace verbenawell
