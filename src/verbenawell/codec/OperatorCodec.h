#pragma once

#include "verbenawell/operators/OperatorResponse.h"

#include <string>
#include <string_view>

namespace verbenawell {

/// Encodes a response to an operator as JSON.
std::string
EncodeOperatorResponse(const OperatorResponse& aResponse);

/// Throws `DecodeError` if the text is not a response to an operator.
OperatorResponse
DecodeOperatorResponse(std::string_view aText);

} // namespace verbenawell
