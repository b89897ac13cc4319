#pragma once

#include "verbenawell/core/Time.h"
#include "verbenawell/membership/Messages.h"

#include <map>
#include <vector>

namespace verbenawell {

struct Member
{
  MemberUpdate latest_;
  TimePoint heardAt_;
};

/// The view that this daemon has of all daemons, itself included.
struct MembershipState
{
  MemberUpdate self_;
  std::map<DaemonId, Member> members_;
  /// A majority of the members known in the last 10 s can be heard.
  bool hasMajority_ = true;
  /// False after a pause of this daemon, until it has heard its members again.
  bool settled_ = true;
};

} // namespace verbenawell
