#include "verbenawell/log/LogReducer.h"

#include "verbenawell/log/AppendReducer.h"
#include "verbenawell/log/ReadReducer.h"
#include "verbenawell/log/SnapshotReducer.h"
#include "verbenawell/log/SpreadReducer.h"

namespace verbenawell {

void
ReduceLog(LogState& aLog,
          const Views& aViews,
          const Event& aEvent,
          const Context& aContext,
          Effects& aEffects)
{
  // Appends come first: they compare the page with reads started before it.
  ReduceAppends(aLog, aViews, aEvent, aContext, aEffects);
  ReduceReads(aLog, aViews, aEvent, aContext, aEffects);
  ReduceSnapshots(aLog, aViews, aEvent, aContext, aEffects);
  ReduceSpread(aLog, aViews, aEvent, aContext, aEffects);
}

} // namespace verbenawell
