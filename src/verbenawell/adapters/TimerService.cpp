#include "verbenawell/adapters/TimerService.h"

#include <utility>

namespace verbenawell {

bool
TimerService::KeyLess::operator()(const TimerKey& aLeft,
                                  const TimerKey& aRight) const
{
  if (aLeft.index() != aRight.index()) {
    return aLeft.index() < aRight.index();
  }
  const auto* left = std::get_if<LogPoll>(&aLeft);
  const auto* right = std::get_if<LogPoll>(&aRight);
  return left != nullptr && right != nullptr && left->stream_ < right->stream_;
}

TimerService::TimerService(asio::io_context& aIo, EventSink aSink)
  : io_(aIo)
  , sink_(std::move(aSink))
{
}

void
TimerService::Subscribe(const TimerKey& aKey, Duration aAfter)
{
  const auto [entry, isNew] = timers_.try_emplace(aKey, io_);
  entry->second.expires_after(aAfter);
  entry->second.async_wait([this, aKey](const std::error_code& aError) {
    if (!aError) {
      sink_(TimerDue{ aKey });
    }
  });
}

void
TimerService::Stop()
{
  timers_.clear();
}

} // namespace verbenawell
