#pragma once

#include "verbenawell/jobs/model/Ids.h"
#include "verbenawell/jobs/model/Resources.h"

namespace verbenawell::jobs {

/// A workspace as the operators configure it.
struct Workspace
{
  WorkspaceId id_;
  WorkspaceWeight weight_{ 1.0 };
  /// What its tasks may take on all workers together; a resource of 0 has no
  /// limit.
  Resources quota_;
};

} // namespace verbenawell::jobs
