#pragma once

#include <cstddef>
#include <functional>
#include <string>
#include <string_view>

namespace verbenawell {

/// Longest message between daemons, without its length prefix.
inline constexpr std::size_t kMaxPeerMessageBytes = 1U << 20U;

/// Bytes of the big-endian length in front of each message.
inline constexpr std::size_t kLengthPrefixBytes = 4;

/// Puts the length in front of a message.
std::string
FrameMessage(std::string_view aMessage);

/// Cuts a stream of bytes into messages.
class MessageReader
{
public:
  using Sink = std::function<void(std::string_view)>;

  /// Hands each whole message to the sink; throws `DecodeError` where a
  /// length is above the limit.
  void Consume(std::string_view aBytes, const Sink& aSink);

  /// Tells whether the bytes so far end within a message.
  [[nodiscard]] bool IsWithinMessage() const { return !buffer_.empty(); }

private:
  std::string buffer_;
};

} // namespace verbenawell
