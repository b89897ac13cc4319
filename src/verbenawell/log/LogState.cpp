#include "verbenawell/log/LogState.h"

#include "verbenawell/log/Streams.h"

namespace verbenawell {

bool
LogAnswers(const LogState& aLog)
{
  const auto found = aLog.streams_.find(FleetStream());
  return found != aLog.streams_.end() && found->second.readsStarted_ > 0 &&
         found->second.failures_ == 0;
}

} // namespace verbenawell
