#pragma once

#include "verbenawell/operators/OperatorAnswer.h"

#include <iosfwd>

namespace verbenawell {

enum class Colour
{
  Off,
  On,
};

/// Prints the message and the tables in aligned columns.
void
PrintResponse(const OperatorAnswer& aResponse,
              Colour aColour,
              std::ostream& aOut);

} // namespace verbenawell
