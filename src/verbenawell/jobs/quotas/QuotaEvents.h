#pragma once

#include "verbenawell/jobs/model/Ids.h"
#include "verbenawell/jobs/model/Resources.h"

#include <map>

namespace verbenawell::jobs {

/// What the tasks of a workspace need that its quota keeps waiting.
struct QuotaShortage
{
  Resources wanted_;
  /// The most that one task, or one gang as a whole, needs.
  Resources largest_;
};

/// The workspaces that a placement pass has kept waiting for their quotas.
struct QuotaShortagesFound
{
  std::map<WorkspaceId, QuotaShortage> shortages_;
};

/// The deployment has this many shards, of which this is one.
struct ShardAssigned
{
  ShardIndex shard_;
  ShardCount count_;
};

} // namespace verbenawell::jobs
