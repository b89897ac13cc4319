#pragma once

#include "verbenawell/core/Endpoint.h"
#include "verbenawell/core/Ids.h"

#include <string>

namespace verbenawell {

/// What a daemon shows to the daemons that it connects to.
struct PeerIdentity
{
  std::string cluster_;
  std::string token_;
  DaemonId daemon_;
  /// Where other daemons connect; also the source address of connections to
  /// them, unless it is a wildcard.
  Endpoint listen_;
};

} // namespace verbenawell
