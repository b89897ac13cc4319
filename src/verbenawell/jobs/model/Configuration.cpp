#include "verbenawell/jobs/model/Configuration.h"

#include <algorithm>

namespace verbenawell::jobs {

const Queue*
Configuration::Resolve(std::string_view aHost, std::string_view aPath) const
{
  const Queue* best = nullptr;
  for (const Queue& queue : queues_) {
    if (queue.host_ == aHost && aPath.starts_with(queue.pathPrefix_) &&
        (best == nullptr ||
         best->pathPrefix_.size() < queue.pathPrefix_.size())) {
      best = &queue;
    }
  }
  return best;
}

const Queue*
Configuration::Find(const QueueId& aQueue) const
{
  const auto found = std::ranges::find(queues_, aQueue, &Queue::id_);
  return found == queues_.end() ? nullptr : &*found;
}

const Service*
Configuration::Find(const ServiceId& aService) const
{
  const auto found = std::ranges::find(services_, aService, &Service::id_);
  return found == services_.end() ? nullptr : &*found;
}

const Workspace*
Configuration::Find(const WorkspaceId& aWorkspace) const
{
  if (!workspaces_) {
    return nullptr;
  }
  const auto found =
    std::ranges::find(*workspaces_, aWorkspace, &Workspace::id_);
  return found == workspaces_->end() ? nullptr : &*found;
}

} // namespace verbenawell::jobs
