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
};

} // namespace verbenawell
