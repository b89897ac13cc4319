#include "verbenawell/log/LogState.h"

#include "verbenawell/log/Streams.h"

#include <cstdint>

namespace verbenawell {

namespace {

// Consecutive failed reads after which the log counts as unavailable. A single
// failed read may be due to a lost connection.
constexpr std::uint32_t kMinFailedReads = 2;

} // namespace

bool
IsLogResponding(const LogState& aLog)
{
  const auto found = aLog.streams_.find(FleetStream());
  return found != aLog.streams_.end() && found->second.readsStarted_ > 0 &&
         found->second.failures_ == 0;
}

bool
IsFailing(const LogState& aLog, const StreamId& aStream)
{
  const auto found = aLog.streams_.find(aStream);
  return found != aLog.streams_.end() &&
         found->second.failures_ >= kMinFailedReads;
}

} // namespace verbenawell
