#include "verbenawell/codec/RecordCodec.h"

#include "verbenawell/codec/internal/Decoder.h"
#include "verbenawell/codec/internal/Encoder.h"

namespace verbenawell {

namespace {

/// A record as stored in the log; the log service itself keeps the offset.
struct StoredRecord
{
  RecordId id_;
  RecordBody body_;
};

template<typename Archive, codec::OneOf<StoredRecord> T>
void
Fields(Archive& aArchive, T& aValue)
{
  aArchive(aValue.id_, aValue.body_);
}

} // namespace

std::string
EncodeRecord(const RecordId& aId, const RecordBody& aBody)
{
  codec::Encoder encoder;
  encoder(aId, aBody);
  std::string bytes;
  nlohmann::json::to_cbor(encoder.Release(), bytes);
  return bytes;
}

LogRecord
DecodeRecord(Offset aOffset, std::string_view aBytes)
{
  try {
    auto stored = codec::DecodeCbor<StoredRecord>(aBytes);
    return { aOffset, std::move(stored.id_), std::move(stored.body_) };
  } catch (const DecodeError& error) {
    return { aOffset, RecordId{}, CorruptRecord{ error.what() } };
  }
}

} // namespace verbenawell
