#pragma once

#include "verbenawell/operators/OperatorAnswer.h"

#include <string>
#include <string_view>

namespace verbenawell {

/// JSON of the operators' interface.
std::string
EncodeOperatorAnswer(const OperatorAnswer& aResponse);

/// Throws `DecodeError` where the text is not an operator's answer.
OperatorAnswer
DecodeOperatorAnswer(std::string_view aText);

} // namespace verbenawell
