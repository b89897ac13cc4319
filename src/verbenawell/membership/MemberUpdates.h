#pragma once

#include "verbenawell/core/Context.h"
#include "verbenawell/membership/MembershipEvents.h"
#include "verbenawell/membership/Messages.h"

#include <cstddef>
#include <optional>
#include <vector>

namespace verbenawell {

struct MembershipState;

/// What a step has changed in the view of the members.
struct ViewChange
{
  MembersChanged members_;
  /// Members to be reached at a new address.
  std::vector<MemberUpdate> addressChanges_;
  bool ownersChanged_ = false;
  /// What another member says about this daemon and is not true.
  std::optional<MemberUpdate> updateToRefute_;
};

/// Takes over what another member says, where it is news.
void
MergeUpdate(MembershipState& aMembership,
            const MemberUpdate& aUpdate,
            const Context& aContext,
            ViewChange& aChange);

/// Suspects pinged members that are silent, declares suspects dead that did
/// not refute it in time, and forgets members that are long gone.
void
ExpireMembers(MembershipState& aMembership,
              const Context& aContext,
              ViewChange& aChange);

/// Makes an entry of the view travel with the next messages.
void
ScheduleDissemination(MembershipState& aMembership, const DaemonId& aMember);

/// Time for which nothing has been heard of a member.
Duration
TimeSinceHeard(const MembershipState& aMembership,
               const DaemonId& aMember,
               TimePoint aNow);

/// The news for one message, with the entry of `aTo` if it must refute it. This
/// daemon's own entry travels while it is new and once a second.
std::vector<MemberUpdate>
CollectUpdates(MembershipState& aMembership, const DaemonId& aTo);

/// The whole view, for a member that joins.
std::vector<MemberUpdate>
AllUpdates(const MembershipState& aMembership);

} // namespace verbenawell
