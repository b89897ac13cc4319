#pragma once

#include "verbenawell/jobs/model/Configuration.h"
#include "verbenawell/jobs/workspaces/ApiKeyIndex.h"

#include <initializer_list>
#include <memory>
#include <string>
#include <utility>

namespace verbenawell::jobs {

/// Gives the configuration workspaces with one key each.
inline void
SetWorkspaces(
  Configuration& aConfiguration,
  std::initializer_list<std::pair<const char*, const char*>> aKeysByWorkspace)
{
  aConfiguration.workspaces_.emplace();
  auto keys = std::make_shared<ApiKeyIndex>(RandomSalt());
  for (const auto& [workspace, key] : aKeysByWorkspace) {
    Workspace& added = aConfiguration.workspaces_->emplace_back();
    added.id_ = WorkspaceId{ workspace };
    added.weight_ = WorkspaceWeight{ 2.5 };
    added.quota_.cpu_ = MilliCores{ 4000 };
    keys->Add(ApiKey{ key }, added.id_);
  }
  aConfiguration.keys_ = std::move(keys);
}

} // namespace verbenawell::jobs
