#pragma once

#include "verbenawell/jobs/callers/CallerRequest.h"
#include "verbenawell/jobs/ownership/OwnerRecord.h"

#include <string>
#include <string_view>

/// Codecs of the requests and responses between daemons and of the owner record
/// in the store. The decoders throw `DecodeError`.
namespace verbenawell::jobs {

std::string
EncodeRequest(const CallerRequest& aRequest);

CallerRequest
DecodeRequest(std::string_view aBytes);

std::string
EncodeResponse(const CallerResponse& aResponse);

CallerResponse
DecodeResponse(std::string_view aBytes);

std::string
EncodeOwner(const OwnerRecord& aRecord);

OwnerRecord
DecodeOwner(std::string_view aBytes);

} // namespace verbenawell::jobs
