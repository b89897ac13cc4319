#include "verbenawell/codec/PeerCodec.h"

#include "verbenawell/codec/internal/Decoder.h"
#include "verbenawell/codec/internal/Encoder.h"

namespace verbenawell {

std::string
EncodePeerMessage(const PeerMessage& aMessage)
{
  std::string bytes;
  nlohmann::json::to_cbor(codec::Encode(aMessage), bytes);
  return bytes;
}

PeerMessage
DecodePeerMessage(std::string_view aBytes)
{
  return codec::DecodeCbor<PeerMessage>(aBytes);
}

} // namespace verbenawell
