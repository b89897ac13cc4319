#include "verbenawell/jobs/workspaces/Access.h"

#include "verbenawell/core/Overloaded.h"
#include "verbenawell/jobs/workspaces/ApiKeyIndex.h"

namespace verbenawell::jobs {

std::string_view
ToString(AccessDenial aDenial)
{
  switch (aDenial) {
    case AccessDenial::NoKey:
      return "no_key";
    case AccessDenial::MalformedKey:
      return "malformed_key";
    case AccessDenial::UnknownKey:
      return "unknown_key";
  }
  return "unknown";
}

Access
CheckAccess(const Queue& aQueue,
            const Configuration& aConfiguration,
            const Credential& aCredential)
{
  if (!aConfiguration.workspaces_ || aQueue.isPublic_) {
    return AccessGranted{};
  }
  return std::visit(
    Overloaded{
      [](const NoKey&) -> Access { return AccessDenial::NoKey; },
      [](const MalformedKey&) -> Access { return AccessDenial::MalformedKey; },
      [&](const ApiKey& aKey) -> Access {
        const WorkspaceId* workspace =
          aConfiguration.keys_ ? aConfiguration.keys_->Find(aKey) : nullptr;
        if (workspace == nullptr) {
          return AccessDenial::UnknownKey;
        }
        return AccessGranted{ *workspace };
      } },
    aCredential);
}

bool
IsVisibleTo(const WorkspaceId& aCaller, const WorkspaceId& aOwner)
{
  return aCaller.IsEmpty() || aOwner.IsEmpty() || aCaller == aOwner;
}

} // namespace verbenawell::jobs
