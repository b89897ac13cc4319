#pragma once

#include "verbenawell/core/Views.h"
#include "verbenawell/fleet/FleetState.h"
#include "verbenawell/log/LogState.h"
#include "verbenawell/membership/MembershipState.h"
#include "verbenawell/operators/OperatorsState.h"
#include "verbenawell/requests/RequestsState.h"
#include "verbenawell/waves/WavesState.h"

namespace verbenawell {

/// State of a daemon; each member is changed only by the reducer of its module.
struct State
{
  MembershipState membership_;
  LogState log_;
  FleetState fleet_;
  RequestsState requests_;
  WavesState waves_;
  OperatorsState operators_;

  [[nodiscard]] Views View() const
  {
    return { membership_, log_, fleet_, requests_, waves_ };
  }
};

} // namespace verbenawell
