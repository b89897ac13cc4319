#include "verbenawell/log/Peers.h"

#include "verbenawell/membership/MembershipState.h"

#include <algorithm>
#include <utility>

namespace verbenawell {

std::vector<DaemonId>
ChoosePeers(const MembershipState& aMembership,
            const DaemonId& aSelf,
            std::size_t aCount,
            Random& aRandom)
{
  std::vector<DaemonId> peers;
  for (const auto& [id, member] : aMembership.members_) {
    if (id != aSelf && member.latest_.status_ == MemberStatus::Alive) {
      peers.push_back(id);
    }
  }
  const std::size_t count = std::min(aCount, peers.size());
  for (std::size_t at = 0; at < count; ++at) {
    std::swap(peers[at], peers[at + aRandom.Below(peers.size() - at)]);
  }
  peers.resize(count);
  return peers;
}

} // namespace verbenawell
