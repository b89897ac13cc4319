#include "verbenawell/requests/TakeoverReducer.h"

#include "verbenawell/fleet/FleetState.h"
#include "verbenawell/requests/RequestsState.h"

namespace verbenawell {

namespace {

class Reducer
{
public:
  Reducer(const Views& aViews, Effects& aEffects)
    : views_(aViews)
    , effects_(aEffects)
  {
  }

  void operator()(const PeerMessageReceived& aEvent)
  {
    if (const auto* request = std::get_if<SlotRequest>(&aEvent.message_)) {
      Admit(aEvent.from_, *request);
    }
  }

  void operator()(const auto&) {}

private:
  void Admit(const DaemonId& aEntry, const SlotRequest& aRequest)
  {
    const auto service = views_.fleet_.services_.find(aRequest.head_.service_);
    if (service == views_.fleet_.services_.end()) {
      effects_.emplace_back(
        SendPeer{ aEntry,
                  SlotRefusal{ aRequest.key_,
                               NotRun{ RefusalReason::UnknownService } } });
      return;
    }
    effects_.emplace_back(
      Raise{ TicketReady{ aEntry, service->second.pool_, aRequest } });
  }

  const Views& views_;
  Effects& effects_;
};

} // namespace

void
ReduceTakeover(RequestsState&,
               const Views& aViews,
               const Event& aEvent,
               const Context&,
               Effects& aEffects)
{
  std::visit(Reducer{ aViews, aEffects }, aEvent);
}

} // namespace verbenawell
