#pragma once

#include "verbenawell/core/Context.h"
#include "verbenawell/core/Effect.h"
#include "verbenawell/core/Views.h"

namespace verbenawell {

struct OwnerState;
class Random;

/// State, inputs and effects that the functions of a pool's owner share while
/// they handle one event.
struct OwnerScope
{
  OwnerState& owner_;
  Random& random_;
  const Views& views_;
  const Context& context_;
  Effects& effects_;
};

} // namespace verbenawell
