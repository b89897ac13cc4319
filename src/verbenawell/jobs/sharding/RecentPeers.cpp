#include "verbenawell/jobs/sharding/RecentPeers.h"

#include <algorithm>

namespace verbenawell::jobs {

namespace {

// If the store turns half of the daemons away, one of 8 can read it in 255 of
// 256 cases.
constexpr std::size_t kMaxPeers = 8;

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
