#include "verbenawell/codec/LogPageCodec.h"

#include "verbenawell/codec/RecordCodec.h"
#include "verbenawell/codec/internal/Decoder.h"
#include "verbenawell/codec/internal/Encoder.h"

namespace verbenawell {

template<typename Archive, codec::OneOf<LogPage> T>
void
Fields(Archive& aArchive, T& aValue)
{
  aArchive(aValue.first_, aValue.next_, aValue.from_, aValue.records_);
}

LogRead
DecodeLogPage(const StreamId& aStream, Offset aFrom, std::string_view aBytes)
{
  const auto page = codec::DecodeCbor<LogPage>(aBytes);
  LogRead result{ aStream, aFrom, page.first_, page.next_, {} };
  Offset offset = page.from_;
  for (const std::string& bytes : page.records_) {
    result.records_.push_back(DecodeRecord(offset, bytes));
    ++offset;
  }
  return result;
}

Offset
DecodeAppendResponse(std::string_view aBytes)
{
  return codec::DecodeCbor<Offset>(aBytes);
}

std::string
EncodeLogPage(const LogPage& aPage)
{
  std::string bytes;
  nlohmann::json::to_cbor(codec::Encode(aPage), bytes);
  return bytes;
}

std::string
EncodeAppendResponse(Offset aOffset)
{
  std::string bytes;
  nlohmann::json::to_cbor(codec::Encode(aOffset), bytes);
  return bytes;
}

} // namespace verbenawell
