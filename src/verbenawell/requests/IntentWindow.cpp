#include "verbenawell/requests/IntentWindow.h"

#include <algorithm>
#include <string>

#include <xxhash.h>

namespace verbenawell {

namespace {

IntentHash
Hash(const std::string& aText)
{
  return XXH3_64bits(aText.data(), aText.size());
}

/// Expiry time of an intent. A record with a time in the future counts as
/// written now.
TimePoint
ExpiryOf(WallTime aWrittenAt, TimePoint aNow, WallTime aWallNow)
{
  const Duration age =
    std::max(Duration::zero(),
             std::chrono::duration_cast<Duration>(aWallNow - aWrittenAt));
  return aNow + kIntentLifetime - age;
}

} // namespace

IntentHash
HashOf(const RequestId& aRequest)
{
  return Hash(aRequest.Value());
}

IntentHash
HashOfQueuedRequest(const DaemonId& aEntry, RequestKey aKey)
{
  return Hash(aEntry.Value() + '/' + std::to_string(aKey.Value()));
}

bool
Apply(IntentWindow& aWindow, const IntentOwner& aClaim)
{
  if (aClaim.epoch_ <= aWindow.epoch_) {
    return aClaim.epoch_ == aWindow.epoch_ && aClaim.owner_ == aWindow.owner_;
  }
  aWindow.owner_ = aClaim.owner_;
  aWindow.epoch_ = aClaim.epoch_;
  aWindow.sequence_ = 0;
  return true;
}

bool
Apply(IntentWindow& aWindow,
      const IntentBatch& aBatch,
      TimePoint aNow,
      WallTime aWallNow)
{
  // The log's retention may have removed the claim that precedes a batch.
  if (aBatch.epoch_ > aWindow.epoch_) {
    Apply(aWindow, IntentOwner{ aBatch.pool_, aBatch.owner_, aBatch.epoch_ });
  }
  if (aBatch.epoch_ != aWindow.epoch_ || aBatch.owner_ != aWindow.owner_ ||
      aBatch.sequence_ <= aWindow.sequence_) {
    return false;
  }
  aWindow.sequence_ = aBatch.sequence_;
  for (const RequestId& request : aBatch.notRun_) {
    aWindow.intents_.erase(HashOf(request));
  }
  const TimePoint expiresAt = ExpiryOf(aBatch.at_, aNow, aWallNow);
  for (const StartedIntent& started : aBatch.started_) {
    const IntentHash id = HashOf(started.request_);
    aWindow.intents_[id] = { HashOfQueuedRequest(started.entry_, started.key_),
                             aBatch.epoch_,
                             expiresAt,
                             false };
    aWindow.expiry_.emplace_back(expiresAt, id);
  }
  return true;
}

void
Prune(IntentWindow& aWindow, TimePoint aNow)
{
  while (!aWindow.expiry_.empty() && aWindow.expiry_.front().first <= aNow) {
    const IntentHash id = aWindow.expiry_.front().second;
    aWindow.expiry_.pop_front();
    // A later intent of the same request has a later expiry time.
    if (const auto found = aWindow.intents_.find(id);
        found != aWindow.intents_.end() && found->second.expiresAt_ <= aNow) {
      aWindow.intents_.erase(found);
    }
  }
}

} // namespace verbenawell
