#include "verbenawell/requests/RequestsReducer.h"

#include "verbenawell/requests/EntryReducer.h"
#include "verbenawell/requests/Intents.h"
#include "verbenawell/requests/OwnerReducer.h"
#include "verbenawell/requests/RequestsState.h"
#include "verbenawell/requests/TakeoverReducer.h"

#include <span>

namespace verbenawell {

void
ReduceRequests(RequestsState& aRequests,
               const Views& aViews,
               const Event& aEvent,
               const Context& aContext,
               Effects& aEffects)
{
  ReduceEntry(aRequests, aViews, aEvent, aContext, aEffects);
  ReduceTakeover(aRequests, aViews, aEvent, aContext, aEffects);
  ReduceIntents(aRequests.intents_, aViews, aEvent, aContext, aEffects);
  const std::size_t before = aEffects.size();
  ReduceOwner(aRequests, aViews, aEvent, aContext, aEffects);
  ApplyDecisions(aRequests.intents_, std::span(aEffects).subspan(before));
}

} // namespace verbenawell
