#pragma once

#include "verbenawell/core/Context.h"
#include "verbenawell/membership/MembershipEvents.h"
#include "verbenawell/membership/Messages.h"

#include <cstddef>
#include <optional>
#include <vector>

namespace verbenawell {

struct MembershipState;

/// Changes of the membership view in one step.
struct ViewChange
{
  MembersChanged members_;
  /// Members that joined or whose address has changed.
  std::vector<MemberUpdate> addressChanges_;
  /// Owners change because a member began to leave.
  bool ownersChanged_ = false;
  /// An update that supersedes this daemon's own entry and must be refuted.
  std::optional<MemberUpdate> updateToRefute_;
};

/// Merges an update from another member into the view if it is newer than the
/// view's entry.
void
MergeUpdate(MembershipState& aMembership,
            const MemberUpdate& aUpdate,
            const Context& aContext,
            ViewChange& aChange);

/// Marks unresponsive ping targets as suspect, declares suspects dead that have
/// not refuted it in time, and removes members that have been dead or gone for
/// long.
void
ExpireMembers(MembershipState& aMembership,
              const Context& aContext,
              ViewChange& aChange);

/// Includes the entry of a member in the next messages to other members.
void
ScheduleDissemination(MembershipState& aMembership, const DaemonId& aMember);

/// Time since a member was last heard, without the time before this daemon
/// started or resumed.
Duration
TimeSinceHeard(const MembershipState& aMembership,
               const DaemonId& aMember,
               TimePoint aNow);

/// Selects the updates for one message to `aTo`. They include the entry of
/// `aTo` if that member must refute it, and this daemon's own entry while it is
/// new and once a second.
std::vector<MemberUpdate>
CollectUpdates(MembershipState& aMembership, const DaemonId& aTo);

/// All entries of the view, for a member that joins.
std::vector<MemberUpdate>
AllUpdates(const MembershipState& aMembership);

} // namespace verbenawell
