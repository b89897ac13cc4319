#pragma once

#include "verbenawell/core/Endpoint.h"

#include <cstddef>
#include <vector>

namespace verbenawell::jobs {

/// Addresses of some daemons that this one knows: former owners and those that
/// forwarded requests to it. Bounded; the one that was seen longest ago makes
/// room.
class RecentPeers
{
public:
  void Add(const Endpoint& aPeer);

  /// Up to `aCount` addresses. Successive calls take turns through all.
  [[nodiscard]] std::vector<Endpoint> Next(std::size_t aCount);

private:
  /// The one that was seen last comes first.
  std::vector<Endpoint> peers_;
  std::size_t turn_ = 0;
};

} // namespace verbenawell::jobs
