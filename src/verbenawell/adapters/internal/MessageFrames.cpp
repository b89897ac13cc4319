#include "verbenawell/adapters/internal/MessageFrames.h"

#include "verbenawell/codec/DecodeError.h"

#include <cstdint>

namespace verbenawell {

namespace {

constexpr unsigned kByteBits = 8;

std::size_t
ReadLength(std::string_view aBytes)
{
  std::uint32_t length = 0;
  for (std::size_t index = 0; index < kLengthPrefixBytes; ++index) {
    length = (length << kByteBits) | static_cast<std::uint8_t>(aBytes[index]);
  }
  return length;
}

} // namespace

std::string
FrameMessage(std::string_view aMessage)
{
  std::string frame;
  frame.reserve(kLengthPrefixBytes + aMessage.size());
  for (std::size_t index = kLengthPrefixBytes; index > 0; --index) {
    frame.push_back(
      static_cast<char>(aMessage.size() >> (kByteBits * (index - 1))));
  }
  frame.append(aMessage);
  return frame;
}

void
MessageReader::Consume(std::string_view aBytes, const Sink& aSink)
{
  buffer_.append(aBytes);
  std::size_t begin = 0;
  while (buffer_.size() - begin >= kLengthPrefixBytes) {
    const std::string_view rest = std::string_view(buffer_).substr(begin);
    const std::size_t length = ReadLength(rest);
    if (length > kMaxPeerMessageBytes) {
      throw DecodeError("message of " + std::to_string(length) +
                        " bytes, expected at most " +
                        std::to_string(kMaxPeerMessageBytes));
    }
    if (rest.size() < kLengthPrefixBytes + length) {
      break;
    }
    aSink(rest.substr(kLengthPrefixBytes, length));
    begin += kLengthPrefixBytes + length;
  }
  buffer_.erase(0, begin);
}

} // namespace verbenawell
