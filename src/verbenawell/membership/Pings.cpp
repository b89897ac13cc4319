#include "verbenawell/membership/Pings.h"

#include "verbenawell/membership/MemberUpdates.h"
#include "verbenawell/membership/MembershipLimits.h"
#include "verbenawell/membership/MembershipState.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace verbenawell {

namespace {

void
SendPing(MembershipState& aMembership, const DaemonId& aTo, Effects& aEffects)
{
  aEffects.emplace_back(SendPeer{
    aTo,
    Ping{ ++aMembership.lastSequence_, CollectUpdates(aMembership, aTo) } });
}

void
PingAddress(MembershipState& aMembership,
            const Endpoint& aAddress,
            Effects& aEffects)
{
  aEffects.emplace_back(SendEndpoint{
    aAddress,
    Ping{ ++aMembership.lastSequence_, CollectUpdates(aMembership, {}) } });
}

bool
NeedsIndirectPing(const MembershipState& aMembership,
                  const DaemonId& aMember,
                  TimePoint aNow)
{
  return TimeSinceHeard(aMembership, aMember, aNow) >= kIndirectPingAfter;
}

bool
IsAddressOfMember(const MembershipState& aMembership, const Endpoint& aAddress)
{
  return std::ranges::any_of(aMembership.members_, [&](const auto& aEntry) {
    const MemberUpdate& latest = aEntry.second.latest_;
    return IsActive(latest) && latest.peerAddress_ == aAddress;
  });
}

/// Addresses at which there may be a daemon that is not an active member.
std::vector<Endpoint>
FindInactiveAddresses(const MembershipState& aMembership)
{
  std::vector<Endpoint> addresses;
  for (const auto& [id, member] : aMembership.members_) {
    if (member.latest_.status_ == MemberStatus::Dead) {
      addresses.push_back(member.latest_.peerAddress_);
    }
  }
  for (const Endpoint& seed : aMembership.seeds_) {
    if (!IsAddressOfMember(aMembership, seed)) {
      addresses.push_back(seed);
    }
  }
  return addresses;
}

} // namespace

void
PingTargets(MembershipState& aMembership, Effects& aEffects)
{
  for (const DaemonId& target : aMembership.targets_) {
    SendPing(aMembership, target, aEffects);
  }
}

void
RequestIndirectPings(MembershipState& aMembership,
                     const Context& aContext,
                     Effects& aEffects)
{
  const std::vector<DaemonId>& targets = aMembership.targets_;
  for (const DaemonId& unresponsive : targets) {
    if (!NeedsIndirectPing(aMembership, unresponsive, aContext.now_)) {
      continue;
    }
    const std::size_t first = aMembership.random_.Below(targets.size());
    std::size_t asked = 0;
    for (std::size_t step = 0;
         step < targets.size() && asked < kMaxIndirectPingHelpers;
         ++step) {
      const DaemonId& helper = targets[(first + step) % targets.size()];
      if (!NeedsIndirectPing(aMembership, helper, aContext.now_)) {
        aEffects.emplace_back(SendPeer{
          helper, PingRequest{ ++aMembership.lastSequence_, unresponsive } });
        ++asked;
      }
    }
  }
}

void
RelayPing(MembershipState& aMembership,
          const DaemonId& aFrom,
          const PingRequest& aRequest,
          const Context& aContext,
          Effects& aEffects)
{
  std::erase_if(aMembership.relayedPings_, [&](const RelayedPing& aRelayed) {
    return aContext.now_ - aRelayed.at_ > kSuspectTimeout;
  });
  if (!aMembership.members_.contains(aRequest.target_) ||
      aMembership.relayedPings_.size() >= kMaxRelayedPings) {
    return;
  }
  aMembership.relayedPings_.push_back(
    { aFrom, aRequest.target_, aRequest.sequence_, aContext.now_ });
  SendPing(aMembership, aRequest.target_, aEffects);
}

void
AcknowledgeRelayedPings(MembershipState& aMembership,
                        const DaemonId& aMember,
                        Effects& aEffects)
{
  const auto isForMember = [&](const RelayedPing& aRelayed) {
    return aRelayed.target_ == aMember;
  };
  for (const RelayedPing& relayed : aMembership.relayedPings_) {
    if (isForMember(relayed)) {
      aEffects.emplace_back(
        SendPeer{ relayed.requester_, Ack{ relayed.sequence_, {}, aMember } });
    }
  }
  std::erase_if(aMembership.relayedPings_, isForMember);
}

void
PingSeeds(MembershipState& aMembership, Effects& aEffects)
{
  std::vector<Endpoint> unknown;
  std::ranges::copy_if(aMembership.seeds_,
                       std::back_inserter(unknown),
                       [&](const Endpoint& aSeed) {
                         return !IsAddressOfMember(aMembership, aSeed);
                       });
  const std::size_t count = std::min(unknown.size(), kMaxSeedsPerPeriod);
  for (std::size_t at = 0; at < count; ++at) {
    const std::size_t other =
      at + aMembership.random_.Below(unknown.size() - at);
    std::swap(unknown[at], unknown[other]);
    PingAddress(aMembership, unknown[at], aEffects);
  }
}

void
PingInactiveAddresses(MembershipState& aMembership, Effects& aEffects)
{
  if (!aMembership.hasStableMajority_) {
    PingSeeds(aMembership, aEffects);
  }
  if (aMembership.ticks_ % kInactivePingTicks != 0) {
    return;
  }
  const std::vector<Endpoint> addresses = FindInactiveAddresses(aMembership);
  if (!addresses.empty()) {
    PingAddress(aMembership,
                addresses[aMembership.random_.Below(addresses.size())],
                aEffects);
  }
}

} // namespace verbenawell
