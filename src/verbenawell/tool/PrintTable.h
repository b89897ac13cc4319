#pragma once

#include "verbenawell/operators/OperatorResponse.h"

#include <iosfwd>

namespace verbenawell {

enum class Colour
{
  Off,
  On,
};

/// Prints the message and the tables in aligned columns.
void
PrintResponse(const OperatorResponse& aResponse,
              Colour aColour,
              std::ostream& aOut);

} // namespace verbenawell
