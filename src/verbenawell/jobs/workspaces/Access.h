#pragma once

#include "verbenawell/jobs/model/Configuration.h"
#include "verbenawell/jobs/workspaces/Credential.h"

#include <variant>

namespace verbenawell::jobs {

/// The request may use the queue on behalf of a workspace; the id is empty for
/// a queue that needs no key.
struct AccessGranted
{
  WorkspaceId workspace_;
};

enum class AccessDenial : std::uint8_t
{
  NoKey,
  MalformedKey,
  UnknownKey,
};

std::string_view
ToString(AccessDenial aDenial);

using Access = std::variant<AccessGranted, AccessDenial>;

/// Decides whether a request with this credential may use a queue. A public
/// queue ignores the credential.
Access
CheckAccess(const Queue& aQueue,
            const Configuration& aConfiguration,
            const Credential& aCredential);

/// Returns whether a request of a workspace may read or cancel a job. Jobs of a
/// public queue and of earlier versions belong to no workspace and are visible
/// to all, and so are all jobs on a queue that needs no key.
bool
IsVisibleTo(const WorkspaceId& aCaller, const WorkspaceId& aOwner);

} // namespace verbenawell::jobs
