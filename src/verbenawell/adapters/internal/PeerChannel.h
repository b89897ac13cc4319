#pragma once

#include "verbenawell/core/PeerMessage.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string_view>

namespace verbenawell {

/// One long-lived HTTP/2 stream of a connection between daemons. Each channel
/// has its own flow control, so that bulk data does not delay heartbeats.
enum class PeerChannel : std::uint8_t
{
  Membership,
  Requests,
  Log,
  State,
};

inline constexpr std::size_t kPeerChannelCount = 4;

/// Request path of each channel, in the order of `PeerChannel`.
inline constexpr std::array<std::string_view, kPeerChannelCount>
  kChannelPaths{ "/membership", "/requests", "/log", "/state" };

PeerChannel
ChannelOf(const PeerMessage& aMessage);

std::optional<PeerChannel>
ParseChannelPath(std::string_view aPath);

} // namespace verbenawell
