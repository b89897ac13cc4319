#include "verbenawell/jobs/sharding/RecentPeers.h"

#include <algorithm>

namespace verbenawell::jobs {

namespace {

// If the store turns half of the daemons away, the chance that it turns all of
// these away is 1 in 65,536. With two asked each 500 ms, a turn takes 4 s.
constexpr std::size_t kMaxPeers = 16;

} // namespace

void
RecentPeers::Add(const Endpoint& aPeer)
{
  const auto known = std::ranges::find(peers_, aPeer);
  if (known != peers_.end()) {
    std::rotate(peers_.begin(), known, known + 1);
    return;
  }
  peers_.insert(peers_.begin(), aPeer);
  if (peers_.size() > kMaxPeers) {
    peers_.pop_back();
  }
}

std::vector<Endpoint>
RecentPeers::Next(std::size_t aCount)
{
  std::vector<Endpoint> next;
  for (std::size_t count = 0; count < std::min(aCount, peers_.size());
       ++count) {
    next.push_back(peers_[turn_++ % peers_.size()]);
  }
  return next;
}

} // namespace verbenawell::jobs
