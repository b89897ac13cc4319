#pragma once

#include "verbenawell/core/Endpoint.h"
#include "verbenawell/core/Ids.h"

#include <string>

namespace verbenawell {

/// What a daemon sends to authenticate itself to the daemons that it connects
/// to.
struct PeerIdentity
{
  std::string cluster_;
  std::string token_;
  DaemonId daemon_;
  /// The address that other daemons connect to. It is also the source address
  /// of connections to them, unless it is a wildcard address.
  Endpoint listen_;
};

} // namespace verbenawell
