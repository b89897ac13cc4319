#pragma once

#include "verbenawell/core/Context.h"
#include "verbenawell/core/Effect.h"
#include "verbenawell/core/Views.h"

namespace verbenawell {

struct OwnerState;
class Random;

/// What the steps of the owner part read and change for one event.
struct OwnerScope
{
  OwnerState& owner_;
  Random& random_;
  const Views& views_;
  const Context& context_;
  Effects& effects_;
};

} // namespace verbenawell
