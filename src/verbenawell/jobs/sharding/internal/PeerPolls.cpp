#include "verbenawell/jobs/sharding/internal/PeerPolls.h"

#include "verbenawell/jobs/sharding/DaemonState.h"

#include <set>

namespace verbenawell::jobs {

namespace {

// With a poll each 500 ms, all remembered daemons are asked within 4 s.
constexpr std::size_t kPeersPerPoll = 2;

} // namespace

std::vector<RequestPeerReport>
RequestsToPeers(DaemonState& aState, ConfigurationVersion aKnown)
{
  std::set<Endpoint> peers;
  for (const State& shard : aState.shards_) {
    if (const auto& owner = shard.ownership_.owner_; owner) {
      peers.insert(owner->address_);
    }
  }
  for (Endpoint& peer : aState.peers_.Next(kPeersPerPoll)) {
    peers.insert(std::move(peer));
  }
  peers.erase(aState.shards_.front().ownership_.self_.address_);
  std::vector<RequestPeerReport> requests;
  requests.reserve(peers.size());
  for (const Endpoint& peer : peers) {
    requests.push_back({ peer, aKnown });
  }
  return requests;
}

std::vector<KnownOwner>
KnownOwners(const DaemonState& aState, TimePoint aNow)
{
  std::vector<KnownOwner> owners;
  for (std::uint32_t index = 0; index < aState.shards_.size(); ++index) {
    const OwnershipState& ownership = aState.shards_[index].ownership_;
    if (!ownership.owner_) {
      continue;
    }
    const Owning* owning = ownership.AsOwner();
    const TimePoint renewedAt =
      owning == nullptr ? ownership.renewedAt_ : owning->renewalSentAt_;
    owners.push_back(
      { ShardIndex{ index }, *ownership.owner_, aNow - renewedAt });
  }
  return owners;
}

} // namespace verbenawell::jobs
