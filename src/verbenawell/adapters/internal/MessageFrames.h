#pragma once

#include <cstddef>
#include <functional>
#include <string>
#include <string_view>

namespace verbenawell {

/// Maximum size of a message between daemons, without its length prefix.
inline constexpr std::size_t kMaxPeerMessageBytes = 1U << 20U;

/// Size of the big-endian length in front of each message.
inline constexpr std::size_t kLengthPrefixBytes = 4;

/// Returns the message with its length in front.
std::string
FrameMessage(std::string_view aMessage);

/// Splits a stream of bytes into messages.
class MessageReader
{
public:
  using Sink = std::function<void(std::string_view)>;

  /// Passes each complete message to the sink; throws `DecodeError` if a length
  /// is above the limit.
  void Consume(std::string_view aBytes, const Sink& aSink);

  /// Tells whether the bytes so far end within a message.
  [[nodiscard]] bool IsWithinMessage() const { return !buffer_.empty(); }

private:
  std::string buffer_;
};

} // namespace verbenawell
