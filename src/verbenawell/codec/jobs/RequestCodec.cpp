#include "verbenawell/codec/jobs/RequestCodec.h"

#include "verbenawell/codec/DecodeError.h"
#include "verbenawell/codec/internal/Decoder.h"
#include "verbenawell/codec/internal/Encoder.h"
#include "verbenawell/codec/jobs/JobFields.h"

namespace verbenawell::jobs {

namespace {

template<typename T>
std::string
ToCbor(const T& aValue)
{
  std::string bytes;
  nlohmann::json::to_cbor(codec::Encode(aValue), bytes);
  return bytes;
}

} // namespace

std::string
EncodeRequest(const CallerRequest& aRequest)
{
  return ToCbor(aRequest);
}

CallerRequest
DecodeRequest(std::string_view aBytes)
{
  auto request = codec::DecodeCbor<CallerRequest>(aBytes);
  if (const auto* submit = std::get_if<SubmitJob>(&request.action_)) {
    codec::RequireValid(*submit->definition_);
  } else if (const auto* adopt = std::get_if<AdoptJob>(&request.action_)) {
    codec::RequireValid(adopt->job_->definition_);
  }
  return request;
}

std::string
EncodeResponse(const CallerResponse& aResponse)
{
  return ToCbor(aResponse);
}

CallerResponse
DecodeResponse(std::string_view aBytes)
{
  return codec::DecodeCbor<CallerResponse>(aBytes);
}

std::string
EncodeOwner(const OwnerRecord& aRecord)
{
  return ToCbor(aRecord);
}

OwnerRecord
DecodeOwner(std::string_view aBytes)
{
  auto record = codec::DecodeCbor<OwnerRecord>(aBytes);
  // A daemon holds a state for each shard.
  if (record.shards_ > kMaxShards) {
    throw DecodeError("an owner record names more than " +
                      std::to_string(kMaxShards.Value()) + " shards");
  }
  return record;
}

} // namespace verbenawell::jobs
