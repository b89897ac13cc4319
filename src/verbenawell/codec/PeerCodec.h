#pragma once

#include "verbenawell/core/PeerMessage.h"

#include <string>
#include <string_view>

namespace verbenawell {

std::string
EncodePeerMessage(const PeerMessage& aMessage);

/// Throws `DecodeError` unless the bytes are one complete, known message.
PeerMessage
DecodePeerMessage(std::string_view aBytes);

} // namespace verbenawell
