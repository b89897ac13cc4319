#include "verbenawell/requests/RequestsReducer.h"

#include "verbenawell/requests/EntryReducer.h"
#include "verbenawell/requests/OwnerReducer.h"
#include "verbenawell/requests/RequestsState.h"
#include "verbenawell/requests/TakeoverReducer.h"

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
  ReduceOwner(aRequests, aViews, aEvent, aContext, aEffects);
}

} // namespace verbenawell
