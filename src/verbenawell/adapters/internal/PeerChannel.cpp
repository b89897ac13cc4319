#include "verbenawell/adapters/internal/PeerChannel.h"

#include "verbenawell/core/Overloaded.h"

#include <algorithm>

namespace verbenawell {

PeerChannel
ChannelOf(const PeerMessage& aMessage)
{
  return std::visit(
    Overloaded{
      [](const Ping&) { return PeerChannel::Membership; },
      [](const Ack&) { return PeerChannel::Membership; },
      [](const PingRequest&) { return PeerChannel::Membership; },
      [](const LogRecords&) { return PeerChannel::Log; },
      [](const StateRequest&) { return PeerChannel::State; },
      [](const StateChunk&) { return PeerChannel::State; },
      [](const auto&) { return PeerChannel::Requests; },
    },
    aMessage);
}

std::optional<PeerChannel>
ParseChannelPath(std::string_view aPath)
{
  const auto found = std::ranges::find(kChannelPaths, aPath);
  if (found == kChannelPaths.end()) {
    return std::nullopt;
  }
  return static_cast<PeerChannel>(found - kChannelPaths.begin());
}

} // namespace verbenawell
