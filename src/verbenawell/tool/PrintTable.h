#pragma once

#include "verbenawell/operators/OperatorAnswer.h"

#include <iosfwd>

namespace verbenawell {

/// Prints the message and the tables in aligned columns.
void
PrintAnswer(const OperatorAnswer& aAnswer, std::ostream& aOut);

} // namespace verbenawell
