#include "verbenawell/log/LogReducer.h"

#include "verbenawell/log/AppendReducer.h"
#include "verbenawell/log/DisseminationReducer.h"
#include "verbenawell/log/ReadReducer.h"
#include "verbenawell/log/SnapshotReducer.h"

namespace verbenawell {

void
ReduceLog(LogState& aLog,
          const Views& aViews,
          const Event& aEvent,
          const Context& aContext,
          Effects& aEffects)
{
  // Appends run before reads: they rely on `readsStarted_` being the number of
  // the read that returned the page, and `ReduceReads` may start the next read.
  ReduceAppends(aLog, aViews, aEvent, aContext, aEffects);
  ReduceReads(aLog, aViews, aEvent, aContext, aEffects);
  ReduceSnapshots(aLog, aViews, aEvent, aContext, aEffects);
  ReduceDissemination(aLog, aViews, aEvent, aContext, aEffects);
}

} // namespace verbenawell
