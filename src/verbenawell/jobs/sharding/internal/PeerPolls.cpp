#include "verbenawell/jobs/sharding/internal/PeerPolls.h"

#include "verbenawell/jobs/sharding/DaemonState.h"

#include <set>
#include <utility>

namespace verbenawell::jobs {

namespace {

// With a poll each 500 ms, all remembered daemons are asked within 4 s.
constexpr std::size_t kPeersPerPoll = 2;

} // namespace

void
RememberOwner(DaemonState& aState, ShardIndex aShard)
{
  const OwnershipState& ownership = aState.shards_[aShard.Value()].ownership_;
  if (ownership.owner_ &&
      ownership.owner_->instance_ != ownership.self_.instance_) {
    aState.peers_.Add(ownership.owner_->address_);
  }
}

// Daemons that still take a turned-away daemon for the owner are turned away
// themselves. They must not displace those that can read the store.
void
RememberSender(DaemonState& aState, const CallerRequested& aRequest)
{
  if (aRequest.sender_ &&
      !aState.shards_.front().configuration_.isPollingPeers_) {
    aState.peers_.Add(*aRequest.sender_);
  }
}

void
AddRequestsToPeers(DaemonState& aState,
                   ConfigurationVersion aKnown,
                   std::vector<ShardEffect>& aEffects)
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
  for (const Endpoint& peer : peers) {
    aEffects.push_back({ {}, Count{ Counter::PeerReportsRequested } });
    aEffects.push_back({ {}, RequestPeerReport{ peer, aKnown } });
  }
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
