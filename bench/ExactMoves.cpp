#include "ExactMoves.h"

#include <deque>
#include <map>
#include <set>
#include <utility>
#include <vector>

namespace verbenawell::bench {

namespace {

/// Pool of each serving VM, ordered by VM id.
using Assignments = std::vector<PoolId>;

Assignments
ReadAssignments(const FleetState& aFleet)
{
  std::map<VmId, PoolId> sorted;
  for (const auto& [id, vm] : aFleet.vms_) {
    if (IsServing(vm)) {
      sorted[id] = vm.pool_;
    }
  }
  Assignments assignments;
  for (const auto& [id, pool] : sorted) {
    assignments.push_back(pool);
  }
  return assignments;
}

std::size_t
CountShortfall(const FleetState& aFleet, const Assignments& aAssignments)
{
  std::size_t shortfall = 0;
  for (const auto& [id, pool] : aFleet.pools_) {
    std::size_t serving = 0;
    for (const PoolId& assigned : aAssignments) {
      serving += assigned == id ? 1 : 0;
    }
    const std::size_t budget = LargestBudget(aFleet, pool).Value();
    shortfall += budget > serving ? budget - serving : 0;
  }
  return shortfall;
}

} // namespace

std::size_t
VmShortfall(const FleetState& aFleet)
{
  return CountShortfall(aFleet, ReadAssignments(aFleet));
}

std::size_t
SearchMinMoves(const FleetState& aFleet)
{
  const Assignments start = ReadAssignments(aFleet);
  std::set<Assignments> visited{ start };
  std::deque<std::pair<Assignments, std::size_t>> frontier{ { start, 0 } };
  while (!frontier.empty()) {
    const auto [current, moves] = std::move(frontier.front());
    frontier.pop_front();
    if (CountShortfall(aFleet, current) == 0) {
      return moves;
    }
    for (std::size_t vm = 0; vm < current.size(); ++vm) {
      for (const auto& [pool, state] : aFleet.pools_) {
        Assignments next = current;
        next[vm] = pool;
        if (visited.insert(next).second) {
          frontier.emplace_back(std::move(next), moves + 1);
        }
      }
    }
  }
  return 0;
}

} // namespace verbenawell::bench
