#include "verbenawell/log/LogReducer.h"

#include "verbenawell/log/AppendReducer.h"
#include "verbenawell/log/ReadReducer.h"
#include "verbenawell/log/Streams.h"

namespace verbenawell {

void
ReduceLog(LogState& aLog,
          const Views& aViews,
          const Event& aEvent,
          const Context& aContext,
          Effects& aEffects)
{
  if (std::holds_alternative<Started>(aEvent)) {
    aEffects.emplace_back(Raise{ StreamWanted{ FleetStream(), Offset{ 1 } } });
  }
  // Appends come first: they compare the page with reads started before it.
  ReduceAppends(aLog, aViews, aEvent, aContext, aEffects);
  ReduceReads(aLog, aViews, aEvent, aContext, aEffects);
}

} // namespace verbenawell
