#pragma once

#include <compare>
#include <cstdint>
#include <optional>
#include <set>
#include <unordered_map>

namespace verbenawell {

/// How much of a pool a competitor (a service, a team or a workspace) uses. The
/// competitor with the least load is served first.
struct ShareLoad
{
  /// Slots or the share of the pool in use, divided by the competitor's weight.
  double perWeight_ = 0.0;
  /// Number of the last grant. Among equals, the competitor whose last grant
  /// is the oldest is served first.
  std::uint64_t lastGrant_ = 0;

  auto operator<=>(const ShareLoad&) const = default;
};

/// Orders the competitors that can be served by their loads, the least loaded
/// first.
template<typename CompetitorId>
class ShareOrder
{
public:
  /// Adds a competitor or updates its load. A competitor without a load cannot
  /// be served and is removed.
  void Put(const CompetitorId& aId, std::optional<ShareLoad> aLoad)
  {
    if (const auto found = loads_.find(aId); found != loads_.end()) {
      places_.erase({ found->second, aId });
      loads_.erase(found);
    }
    if (aLoad) {
      places_.insert({ *aLoad, aId });
      loads_.emplace(aId, *aLoad);
    }
  }

  /// The competitor to serve next; null where none can be served.
  [[nodiscard]] const CompetitorId* First() const
  {
    return places_.empty() ? nullptr : &places_.begin()->second;
  }

private:
  std::set<std::pair<ShareLoad, CompetitorId>> places_;
  std::unordered_map<CompetitorId, ShareLoad> loads_;
};

} // namespace verbenawell
