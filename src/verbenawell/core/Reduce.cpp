#include "verbenawell/core/Reduce.h"

#include "verbenawell/core/EventLoop.h"
#include "verbenawell/core/Overloaded.h"
#include "verbenawell/core/State.h"
#include "verbenawell/fleet/FleetReducer.h"
#include "verbenawell/log/LogReducer.h"
#include "verbenawell/membership/MembershipReducer.h"
#include "verbenawell/operators/OperatorsReducer.h"
#include "verbenawell/requests/RequestsReducer.h"
#include "verbenawell/waves/WavesReducer.h"

#include <optional>
#include <utility>

namespace verbenawell {

namespace {

Effects
ReduceModules(State& aState, const Event& aEvent, const Context& aContext)
{
  Effects effects;
  const Views views = aState.View();
  // Membership and the log run first: the decisions of the other modules depend
  // on the members and records of this event.
  ReduceMembership(aState.membership_, views, aEvent, aContext, effects);
  ReduceLog(aState.log_, views, aEvent, aContext, effects);
  ReduceFleet(aState.fleet_, views, aEvent, aContext, effects);
  ReduceRequests(aState.requests_, views, aEvent, aContext, effects);
  ReduceWaves(aState.waves_, views, aEvent, aContext, effects);
  ReduceOperators(aState.operators_, views, aEvent, aContext, effects);
  return effects;
}

} // namespace

Effects
Reduce(State& aState, const Event& aEvent, const Context& aContext)
{
  return ReduceAll<Effect>(
    aEvent,
    [&](const Event& aNext) { return ReduceModules(aState, aNext, aContext); },
    [&](Effect& aEffect) -> std::optional<Event> {
      if (auto* raise = std::get_if<Raise>(&aEffect)) {
        return std::move(raise->event_);
      }
      if (auto* send = std::get_if<SendPeer>(&aEffect);
          send != nullptr && send->to_ == aContext.self_) {
        return PeerMessageReceived{ aContext.self_, std::move(send->message_) };
      }
      return std::nullopt;
    });
}

} // namespace verbenawell
