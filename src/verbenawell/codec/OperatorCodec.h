#pragma once

#include "verbenawell/operators/OperatorAnswer.h"

#include <string>
#include <string_view>

namespace verbenawell {

/// Encodes a response to an operator as JSON.
std::string
EncodeOperatorAnswer(const OperatorAnswer& aResponse);

/// Throws `DecodeError` if the text is not a response to an operator.
OperatorAnswer
DecodeOperatorAnswer(std::string_view aText);

} // namespace verbenawell
