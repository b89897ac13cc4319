#pragma once

#include "verbenawell/core/Context.h"
#include "verbenawell/core/Effect.h"
#include "verbenawell/core/Views.h"
#include "verbenawell/requests/EntryState.h"

namespace verbenawell {

struct RequestsState;

/// Actions on a request at its entry daemon. Each request ends with exactly one
/// of `Respond`, `Refuse` and `Cancel`, which also count it in the metrics.
class EntryActions
{
public:
  EntryActions(RequestsState& aRequests,
               const Views& aViews,
               const Context& aContext,
               Effects& aEffects);

  [[nodiscard]] EntryRequest* Find(RequestKey aKey);
  [[nodiscard]] Duration TimeLeft(const EntryRequest& aRequest) const;

  /// The pool of the request's service; null if there is no such service.
  [[nodiscard]] const PoolId* PoolOf(const EntryRequest& aRequest) const;

  void Add(RequestKey aKey, const RequestHead& aHead);
  void RequestSlot(RequestKey aKey, EntryRequest& aRequest);
  /// Lets the request wait until the owner is looked up again.
  void WaitForOwner(RequestKey aKey, EntryRequest& aRequest);
  void Withdraw(RequestKey aKey, const WaitingForSlot& aPhase);
  void Start(RequestKey aKey,
             EntryRequest& aRequest,
             const DaemonId& aOwner,
             const SlotGrant& aGrant);
  /// Returns a slot to the owner that granted it, or to its successor.
  void Release(const RunningOnWorker& aPhase, const AttemptOutcome& aOutcome);
  void ReturnUnused(const DaemonId& aOwner, const SlotGrant& aGrant);

  void Respond(RequestKey aKey, const EntryRequest& aRequest);
  void Refuse(RequestKey aKey,
              const std::variant<NotRun, MayHaveRun>& aVerdict);
  void Cancel(RequestKey aKey);
  void ExitIfIdle();

private:
  void Remove(RequestKey aKey);

  RequestsState& requests_;
  EntryState& entry_;
  const Views& views_;
  const Context& context_;
  Effects& effects_;
};

} // namespace verbenawell
