#pragma once

#include "verbenawell/core/Context.h"
#include "verbenawell/core/Effect.h"
#include "verbenawell/core/Views.h"
#include "verbenawell/requests/EntryState.h"

namespace verbenawell {

struct RequestsState;

/// Steps in the life of a request at its entry daemon. Each request leaves by
/// exactly one of `Answer`, `Refuse` and `Cancel`, which count it.
class EntryActions
{
public:
  EntryActions(RequestsState& aRequests,
               const Views& aViews,
               const Context& aContext,
               Effects& aEffects);

  [[nodiscard]] EntryRequest* Find(RequestKey aKey);
  [[nodiscard]] Duration TimeLeft(const EntryRequest& aRequest) const;

  /// The pool of the request's service; null where there is no such service.
  [[nodiscard]] const PoolId* PoolOf(const EntryRequest& aRequest) const;

  void Add(RequestKey aKey, const RequestHead& aHead);
  void RequestSlot(RequestKey aKey, EntryRequest& aRequest);
  /// Leaves the request without an owner until the next tick.
  void WaitForOwner(RequestKey aKey, EntryRequest& aRequest);
  void Withdraw(RequestKey aKey, const WaitingForSlot& aPhase);
  void Start(RequestKey aKey,
             EntryRequest& aRequest,
             const DaemonId& aOwner,
             const SlotGrant& aGrant);
  /// Gives a slot back to the owner that granted it or has taken over since.
  void Release(const RunningOnWorker& aPhase, const AttemptOutcome& aOutcome);
  void ReturnUnused(const DaemonId& aOwner, const SlotGrant& aGrant);

  void Respond(RequestKey aKey, const EntryRequest& aRequest);
  void Refuse(RequestKey aKey,
              const std::variant<NotRun, MayHaveRun>& aVerdict);
  void Cancel(RequestKey aKey);
  void ExitIfIdle();

private:
  void Forget(RequestKey aKey);

  RequestsState& requests_;
  EntryState& entry_;
  const Views& views_;
  const Context& context_;
  Effects& effects_;
};

} // namespace verbenawell
