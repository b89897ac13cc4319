#pragma once

#include "Sighting.h"

#include <map>
#include <optional>
#include <set>

namespace verbenawell::fuzz {

struct Violation
{
  /// Number of the rule in section 2 of docs/design.md; 0 for liveness.
  int rule_ = 0;
  TimePoint at_;
  std::string what_;
};

/// Checks the eight rules of docs/design.md on what the fakes observe.
class Oracle
{
public:
  void See(TimePoint aNow, const Sighting& aSighting);
  void Report(int aRule, std::string aWhat);

  [[nodiscard]] const std::vector<Violation>& Violations() const
  {
    return violations_;
  }
  /// Number of calls without an outcome.
  [[nodiscard]] std::size_t OpenCalls() const { return open_; }

private:
  struct Call
  {
    CallSent sent_;
    bool ended_ = false;
    std::size_t runs_ = 0;
  };
  struct Run
  {
    RunStarted started_;
    std::optional<RunEnd> end_;
    /// Two owners may have granted the slots of the worker at that time.
    bool disturbed_ = false;
  };
  /// Time since which each daemon has seen a state of the VM in the VM list.
  using ShownSince = std::map<DaemonId, TimePoint>;
  struct Vm
  {
    std::set<RunId> running_;
    ShownSince downSince_;
    ShownSince leavingSince_;
    std::optional<TimePoint> drainedSince_;
    /// Newest offset at which the VM had no drain.
    Offset undrained_;
  };

  void On(const CallSent& aSighting);
  void On(const CallEnded& aSighting);
  void On(const RunStarted& aSighting);
  void On(const RunEnded& aSighting);
  void On(const RebootStarted& aSighting);
  void On(const ListShown& aSighting);
  void On(const ChangeAccepted& aSighting);
  void On(const FoldShown& aSighting);
  void On(const DaemonRuns& aSighting);
  void On(const DaemonResumed& aSighting);
  void On(const PeersDisturbed& aSighting);

  void CheckBudgets(const FleetState& aFleet);
  void CheckPools(const FleetState& aFleet);
  void CheckOffset(const FoldShown& aSighting);
  void CheckSlots(const RunStarted& aSighting);
  [[nodiscard]] bool IsDisturbed() const;
  [[nodiscard]] bool IsKnown(const ShownSince& aSince, Duration aLimit) const;
  [[nodiscard]] bool Serves(const VmId& aId, const VmState& aVm) const;

  TimePoint now_;
  std::map<CallId, Call> calls_;
  std::map<RunId, Run> runs_;
  std::map<VmId, Vm> vms_;
  std::map<RequestId, std::size_t> runsOfOnce_;
  std::map<Offset, TimePoint> accepted_;
  std::map<Offset, std::string> folds_;
  std::map<DaemonId, std::pair<TimePoint, Offset>> shown_;
  std::set<VmId> stopped_;
  /// Running daemons with the time of their start or resumption.
  std::map<DaemonId, TimePoint> running_;
  std::optional<TimePoint> disturbedAt_;
  std::size_t open_ = 0;
  std::vector<Violation> violations_;
};

/// Prints all parts of the fleet state that operators can see.
std::string
DescribeFold(const FleetState& aFleet);

} // namespace verbenawell::fuzz
